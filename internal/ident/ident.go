// Package ident holds what requests that may crash upstreams are known by.
package ident

import (
	"crypto/sha256"
	"encoding/hex"
	"net"
	"strings"

	"damaskreach/internal/demand"
)

// FingerprintLen is the number of characters of a fingerprint, and of a wide one.
const FingerprintLen = 24

// wide begins wide fingerprints; others are hexadecimal.
const wide = "w"

// Ident is immutable.
type Ident struct {
	Request     string   // ID of the caller's attempt, for log lines
	Caller      string   // its team, or the address that it came from, for log lines
	Fingerprint string   // the same for all repeats of the request
	Wide        string   // the same for all requests that differ in nothing but the address that they come from and the query
	Parts       []string // IDs of the parts of the prompt that other requests may share, in order
}

// IsWide reports whether a fingerprint is a wide one.
func IsWide(fingerprint string) bool { return strings.HasPrefix(fingerprint, wide) }

// NewIdent returns what a request is known by, given its caller's team, if it has one, and the address that it came from.
//
// The caller is part of the fingerprint: a request may crash upstreams for one caller only. With one fingerprint for all callers, good answers to others
// would hide such crashes, or the crashes would have the others' requests refused.
func NewIdent(d demand.Demand, team, addr string) Ident {
	caller := callerName(team, addr)
	path, _, _ := strings.Cut(d.URI, "?")
	return Ident{
		Request: d.ID, Caller: caller, Parts: d.Parts,
		Fingerprint: fingerprint(d.Body, caller, d.Method, d.Host, d.URI, d.Adapter),
		Wide:        wide + fingerprint(d.Body, wide, team, d.Method, d.Host, path, d.Adapter)[len(wide):],
	}
}

// callerName names the caller of a request: its team, or else the host that it came from, where no key tells more.
func callerName(team, addr string) string {
	if team != "" {
		return "team " + team
	}
	if host, _, err := net.SplitHostPort(addr); err == nil {
		return "address " + host
	}
	return "address " + addr
}

// fingerprint sums up some short parts and a body, which may be long and is not copied.
func fingerprint(body []byte, parts ...string) string {
	sum := sha256.New()
	for _, p := range parts {
		sum.Write([]byte(p))
		sum.Write([]byte{0})
	}
	sum.Write(body)
	sum.Write([]byte{0})
	return hex.EncodeToString(sum.Sum(nil))[:FingerprintLen]
}

// WithParts returns a copy with other parts of the prompt.
func (i Ident) WithParts(parts []string) Ident {
	i.Parts = parts
	return i
}
