// Package route holds one route of the configuration: which requests go to which group of upstreams, and how.
package route

import (
	"time"

	"damaskreach/internal/kinds"
)

// Route is immutable.
type Route struct {
	Name      string
	Host      string // of the requests that it takes
	Prefix    string // of their paths; begins and ends with a slash
	Kind      kinds.Kind
	Groups    []string // groups of upstreams that serve it
	Weights   []int    // share of each group, in the order of Groups
	Timeout   time.Duration
	Target    time.Duration // within which an answer, or the first event of a stream, is on time
	Gap       time.Duration // longest pause between events for which a stream is on time
	Priority  int           // 0 is the most urgent
	Public    bool          // callers need no key
	Attempts  int           // runners that one attempt of a caller may be sent to
	Resumable bool          // a stream may go on at another runner
}

// Repeatable reports whether a request may be sent again though it may have run.
func (r Route) Repeatable() bool {
	return r.Kind == kinds.Idempotent || r.Kind == kinds.Stream && r.Resumable
}

// Group returns the group that a request with the given hash goes to, by the weights.
func (r Route) Group(hash uint32) string {
	total := 0
	for _, w := range r.Weights {
		total += w
	}
	if total <= 0 {
		return r.Groups[0]
	}
	left := int(hash % uint32(total))
	for i, w := range r.Weights {
		if left < w {
			return r.Groups[i]
		}
		left -= w
	}
	return r.Groups[0]
}
