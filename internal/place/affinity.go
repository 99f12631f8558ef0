package place

import "time"

const (
	maxPrefixes = 4096
	prefixTTL   = 5 * time.Minute
)

// affinity records which runner last received each prompt prefix. It is learnt from this node's own choices, since cache
// events from the engines arrive late and with gaps.
type affinity struct {
	entries map[string]prefixEntry
	ring    []string
	next    int
}

type prefixEntry struct {
	runner string
	sentAt time.Time
}

func newAffinity() *affinity {
	return &affinity{entries: map[string]prefixEntry{}, ring: make([]string, maxPrefixes)}
}

// record stores that prefix was sent to runner and drops the oldest prefix once the ring is full.
func (a *affinity) record(now time.Time, prefix, runner string) {
	if prefix == "" {
		return
	}
	if _, known := a.entries[prefix]; !known {
		delete(a.entries, a.ring[a.next])
		a.ring[a.next] = prefix
		a.next = (a.next + 1) % len(a.ring)
	}
	a.entries[prefix] = prefixEntry{runner: runner, sentAt: now}
}

// lookup returns the runner that likely caches prefix, or "" if none is known.
func (a *affinity) lookup(now time.Time, prefix string) string {
	s, known := a.entries[prefix]
	if !known || now.Sub(s.sentAt) > prefixTTL {
		return ""
	}
	return s.runner
}
