package conf

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"damaskreach/internal/fault"
)

const (
	keySecrets     = "secrets"
	keySecretsFile = "secrets-file"
	minSecret      = 16 // bytes
	sumSize        = 32 // bytes of a SHA-256
	maxKeepers     = 64
)

var levels = []string{"debug", "info", "warn", "error"}

// faults checks the values against each other and against their ranges.
func (c Conf) faults() []fault.Fault {
	var out []fault.Fault
	add := func(key, text string) {
		if text != "" {
			out = append(out, fault.NewFault(key, "%s", text))
		}
	}
	add("site", checkName(c.Site))
	add("centre", checkName(c.Centre))
	add("peer", checkOwn(c.Peer))
	add("listen", checkListen(c.Listen))
	add("http", checkOwn(c.HTTP))
	add("admin", checkOwn(c.Admin))
	add("tables", checkAddrs(c.Tables, true))
	add("objects", checkAddrs(c.Objects, false))
	add("seeds", checkAddrs(c.Seeds, false))
	add("hosts", checkAddrs(c.Hosts, false))
	add(keySecrets, c.checkSecrets())
	add("operators", checkSums(c.Operators))
	add("lease", between(c.Lease, time.Second, time.Hour))
	add("renew", c.checkRenew())
	add("poll", between(c.Poll, 100*time.Millisecond, time.Minute))
	add("max-body", between(c.MaxBody, 1<<10, 1<<30))
	add("max-header", between(c.MaxHeader, 1<<10, 1<<24))
	add("max-request", between(c.MaxRequest, time.Second, 24*time.Hour))
	add("entries-life", between(c.EntriesLife, time.Second, time.Hour))
	add("drain", c.checkDrain())
	add("keepers", between(c.Keepers, 1, maxKeepers))
	add("claim-window", between(c.ClaimWindow, time.Millisecond, time.Second))
	add("claim-life", between(c.ClaimLife, 10*time.Minute, 30*24*time.Hour))
	add("suspect-life", between(c.SuspectLife, time.Minute, 24*time.Hour))
	add("log-level", checkLevel(c.LogLevel))
	return out
}

func checkName(name string) string {
	if name == "" {
		return "is missing"
	}
	return ""
}

// checkOwn checks an address that the node listens on and hands out to others.
// With an unspecified IP or port 0 others would be told an address that nobody can connect to.
func checkOwn(addr string) string {
	if addr == "" {
		return "is missing"
	}
	if text := checkAddr(addr); text != "" {
		return text
	}
	if netip.MustParseAddrPort(addr).Addr().IsUnspecified() {
		return fmt.Sprintf("%q cannot be handed out to others; name the host's own IP", addr)
	}
	return ""
}

// checkListen checks an address that is handed to nobody, so that any of the host's own will do.
func checkListen(addr string) string {
	if addr == "" {
		return ""
	}
	return checkAddr(addr)
}

func checkAddr(addr string) string {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Sprintf("%q is not an IP and port such as 10.0.0.7:7000", addr)
	}
	if parsed.Port() == 0 {
		return fmt.Sprintf("%q has port 0", addr)
	}
	return ""
}

func checkAddrs(addrs []string, needed bool) string {
	if needed && len(addrs) == 0 {
		return "is missing"
	}
	for i, addr := range addrs {
		if text := checkAddr(addr); text != "" {
			return text
		}
		if slices.Contains(addrs[:i], addr) {
			return fmt.Sprintf("%q is named twice", addr)
		}
	}
	return ""
}

func (c Conf) checkSecrets() string {
	if c.SecretsFile != "" {
		if len(c.Secrets) > 0 {
			return "stands beside " + keySecretsFile + "; only one of them may be set"
		}
		return ""
	}
	if len(c.Secrets) == 0 {
		return "is missing, and so is " + keySecretsFile
	}
	for _, secret := range c.Secrets {
		if text := checkSecret(secret); text != "" {
			return text
		}
	}
	return ""
}

// checkSecret does not repeat the secret in its text, which may end up in a log.
func checkSecret(secret string) string {
	if len(secret) < minSecret {
		return fmt.Sprintf("a key has %d bytes; at least %d are needed", len(secret), minSecret)
	}
	return ""
}

func checkSums(sums []string) string {
	for i, sum := range sums {
		if raw, err := hex.DecodeString(sum); err != nil || len(raw) != sumSize {
			return fmt.Sprintf("entry %d is not a SHA-256 in hexadecimal", i+1)
		}
	}
	return ""
}

// checkRenew leaves time for one lost renewal: with less, a single lost answer would end the lease.
func (c Conf) checkRenew() string {
	if text := between(c.Renew, 100*time.Millisecond, time.Hour); text != "" {
		return text
	}
	if 2*c.Renew > c.Lease {
		return fmt.Sprintf("%s is more than half of lease (%s)", c.Renew, c.Lease)
	}
	return ""
}

// checkDrain keeps a leaving node up for callers that hold an old discovery answer;
// with a shorter drain they would find their connection refused.
func (c Conf) checkDrain() string {
	if c.Drain <= c.EntriesLife {
		return fmt.Sprintf("%s must be longer than entries-life (%s)", c.Drain, c.EntriesLife)
	}
	return between(c.Drain, time.Second, 24*time.Hour)
}

func checkLevel(level string) string {
	if !slices.Contains(levels, level) {
		return fmt.Sprintf("%q is none of %q", level, levels)
	}
	return ""
}

func between[T int | int64 | float64 | time.Duration](value, low, high T) string {
	if value < low || value > high {
		return fmt.Sprintf("%v is out of range: %v to %v", value, low, high)
	}
	return ""
}
