// Package blame finds requests that crash their upstreams, by recording which upstreams broke off under which requests.
//
// Some requests crash every upstream that runs them, and callers and hosts retry them. Unrecorded, such a request takes
// down one upstream after the other, with all requests beside it; the symptom is upstreams that restart in turn. A
// request that merely ran beside the cause breaks off too, but seldom at three upstreams.
package blame

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

const (
	// minUpstreams is the number of upstreams that must have broken off under a request for it to be blocked.
	minUpstreams = 3
	// recordTTL is how long a record is kept after the last break: callers retry within minutes.
	recordTTL = 2 * time.Minute
	// maxRecords bounds the records, some 200 bytes each. A loss of many upstreams breaks thousands of requests at once.
	maxRecords = 20000
	// maxPending is the most breaks in one message.
	maxPending = 200
)

// Blame is safe for concurrent use. The zero value is empty.
type Blame struct {
	mu      sync.Mutex
	records map[string]*record
	pending []string // own breaks not yet sent to other hosts
}

type record struct {
	upstreams map[string]bool // incarnations of upstreams
	expiresAt time.Time
}

// Fingerprint returns a hash of the parts that identify equal requests.
func Fingerprint(parts ...string) string {
	sum := sha256.New()
	for _, p := range parts {
		sum.Write([]byte(p))
		sum.Write([]byte{0})
	}
	return hex.EncodeToString(sum.Sum(nil)[:12])
}

// RecordBreak records that an upstream broke off under a request, and returns the number of upstreams that did so.
func (b *Blame) RecordBreak(fingerprint, upstream string, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) < maxPending {
		b.pending = append(b.pending, fingerprint+" "+upstream)
	}
	return b.addBreak(fingerprint, upstream, now)
}

func (b *Blame) addBreak(fingerprint, upstream string, now time.Time) int {
	if b.records == nil || len(b.records) >= maxRecords {
		b.records = map[string]*record{}
	}
	r := b.records[fingerprint]
	if r == nil || now.After(r.expiresAt) {
		r = &record{upstreams: map[string]bool{}}
		b.records[fingerprint] = r
	}
	r.upstreams[upstream] = true
	r.expiresAt = now.Add(recordTTL)
	return len(r.upstreams)
}

// Blocked reports whether a request must not be sent any more.
func (b *Blame) Blocked(fingerprint string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[fingerprint]
	return r != nil && len(r.upstreams) >= minUpstreams && now.Before(r.expiresAt)
}

// Clear drops the record of a request that was answered completely: it was not the cause. It returns the number of upstreams that the record
// named.
func (b *Blame) Clear(fingerprint string) (upstreams int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.records[fingerprint]; r != nil {
		upstreams = len(r.upstreams)
	}
	delete(b.records, fingerprint)
	return upstreams
}

// TakePending returns and clears the breaks seen here that were not sent to other hosts yet.
func (b *Blame) TakePending() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.pending
	b.pending = nil
	return list
}

// AddBreaks records breaks that another host has seen.
func (b *Blame) AddBreaks(list []string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, text := range list {
		if fingerprint, upstream, ok := parseBreak(text); ok {
			b.addBreak(fingerprint, upstream, now)
		}
	}
}

func parseBreak(text string) (fingerprint, upstream string, ok bool) {
	const size = 24 // length of a fingerprint
	if len(text) <= size || text[size] != ' ' {
		return "", "", false
	}
	return text[:size], text[size+1:], true
}
