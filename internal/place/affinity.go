package place

import "time"

const (
	mostPrefixes = 4096
	prefixLife   = 5 * time.Minute
)

// affinity remembers which runner last got each prompt prefix. It is learnt from this node's own choices,
// so that it needs no cache events: those come late and with gaps.
type affinity struct {
	last map[string]sent
	ring []string
	next int
}

type sent struct {
	runner string
	at     time.Time
}

func newAffinity() *affinity {
	return &affinity{last: map[string]sent{}, ring: make([]string, mostPrefixes)}
}

// put notes that prefix went to runner.
func (a *affinity) put(now time.Time, prefix, runner string) {
	if prefix == "" {
		return
	}
	if _, known := a.last[prefix]; !known {
		delete(a.last, a.ring[a.next])
		a.ring[a.next] = prefix
		a.next = (a.next + 1) % len(a.ring)
	}
	a.last[prefix] = sent{runner: runner, at: now}
}

// get returns the runner that likely caches prefix, or an empty name.
func (a *affinity) get(now time.Time, prefix string) string {
	s, known := a.last[prefix]
	if !known || now.Sub(s.at) > prefixLife {
		return ""
	}
	return s.runner
}
