package blame

import (
	"slices"
	"time"

	"damaskreach/internal/ident"
)

// RecordEnd records that an upstream has ended, given the requests of this host that it ran then and those that it had just answered. It returns those of the latter
// that it counts against.
func (b *Blame) RecordEnd(upstream string, running, behind []ident.Ident, ended, now time.Time) (against []ident.Ident) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, i := range behind {
		if slices.ContainsFunc(running, func(other ident.Ident) bool { return other.Fingerprint == i.Fingerprint }) {
			continue
		}
		marked := upstream + behindMark
		added, upstreams, wide := b.add(i, marked, ended, now)
		if added {
			b.tellBreak(i, marked, upstreams, wide)
			against = append(against, i)
		}
	}
	return against
}
