// Package proven keeps which requests ran well lately, and since when.
package proven

import (
	"cmp"
	"slices"
	"time"

	"damaskreach/internal/ident"
	"damaskreach/internal/recent"
)

const (
	// retention is how long a request that ran well is known, and maxKept how many such are kept in that time, some 150 bytes each.
	retention = 2 * time.Minute
	maxKept   = 4000
)

// Proven may be used from one goroutine at a time.
type Proven struct {
	requests *recent.Recent[string, request] // by fingerprint
}

// request is one that ran well, and since when that is known.
type request struct {
	fingerprint, wide string
	since             time.Time
}

// NewProven returns a Proven that knows of no request.
func NewProven() *Proven {
	return &Proven{requests: recent.NewRecent[string, request](retention, maxKept)}
}

// Add records that a request is known to have run well.
func (p *Proven) Add(i ident.Ident, now time.Time) {
	r := request{i.Fingerprint, i.Wide, now}
	if known, ok := p.requests.Get(i.Fingerprint); ok {
		r.since, r.wide = known.since, cmp.Or(r.wide, known.wide)
	}
	p.requests.Set(i.Fingerprint, r, now)
}

// Has reports whether a request has run well lately.
func (p *Proven) Has(fingerprint string) bool {
	_, ok := p.requests.Get(fingerprint)
	return ok
}

// HadBy reports whether it was known by a moment that a request had run well.
func (p *Proven) HadBy(fingerprint string, at time.Time) bool {
	known, ok := p.requests.Get(fingerprint)
	return ok && !known.since.After(at)
}

// Alike returns the requests with a wide fingerprint that ran well, by their fingerprints.
func (p *Proven) Alike(wide string) (fingerprints []string) {
	for r := range p.requests.Values() {
		if r.wide == wide {
			fingerprints = append(fingerprints, r.fingerprint)
		}
	}
	slices.Sort(fingerprints)
	return slices.Compact(fingerprints)
}
