// Package trust tells whether some other host reads the store well enough for this one not to.
//
// A host that reads for others may itself lose the store, and says so only with its next message. Were it relied on until
// then, the others would send new work to upstreams that have left for longer than they may. So what counts is the age of
// its last reading, and not of its last message.
package trust

import (
	"sync"
	"time"

	"damaskreach/internal/marks"
)

// Trust may be used from several goroutines. The zero value trusts nobody.
type Trust struct {
	mu   sync.Mutex
	read map[string]time.Time // when each host that reads for others has last read

	ahead   marks.Marks // how far the newest reading went that this host heard of without knowing as much
	aheadAt time.Time   // when its marks were heard
	behind  time.Time   // since when it has heard of such readings alone
}

// Note takes what a host said at now: the age of its last reading, negative where it does not read for others.
func (t *Trust) Note(host string, age time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if age < 0 {
		delete(t.read, host)
		return
	}
	if t.read == nil {
		t.read = map[string]time.Time{}
	}
	t.read[host] = now.Add(-age)
}

// Fresh reports whether some host has read within the limit.
func (t *Trust) Fresh(limit time.Duration, now time.Time) bool {
	age, ok := t.Age(now)
	return ok && age < limit
}

// Age returns the age of the last reading of all hosts that read for others; ok is false where there are none. Whoever passes it on
// says how old it is by then, so that no way round makes it younger.
func (t *Trust) Age(now time.Time) (age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range t.read {
		if !ok || now.Sub(at) < age {
			age, ok = now.Sub(at), true
		}
	}
	return age, ok
}

// Ahead notes a reading that this host heard of at now without knowing as much. The newest counts.
func (t *Trust) Ahead(m marks.Marks, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.behind.IsZero() {
		t.behind = now
	}
	if t.aheadAt.IsZero() || m.Age <= t.ahead.WithLater(now.Sub(t.aheadAt)).Age {
		t.ahead, t.aheadAt = m, now
	}
}

// Beyond returns that reading, with its age by now, and for how long this host has heard of such readings; ok is false where it knows as
// much by now, as covers tells.
func (t *Trust) Beyond(now time.Time, covers func(m marks.Marks) bool) (m marks.Marks, behind time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.behind.IsZero() || covers(t.ahead) {
		t.behind, t.aheadAt = time.Time{}, time.Time{}
		return marks.Marks{}, 0, false
	}
	return t.ahead.WithLater(now.Sub(t.aheadAt)), now.Sub(t.behind), true
}

// Forget drops hosts that are gone.
func (t *Trust) Forget(gone func(host string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for host := range t.read {
		if gone(host) {
			delete(t.read, host)
		}
	}
}
