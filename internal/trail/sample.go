package trail

import (
	"time"

	"damaskreach/internal/ident"
)

const (
	// liveTime is how long after its last answer an upstream counts among those that requests may be present at, and keepTime how long after the last request it is kept.
	liveTime = 2 * time.Second
	keepTime = 10 * time.Second
	// sampleDelay is how long an upstream must go on behind a moment for what was present at that moment to be sampled. Without it, a request that runs for long before it crashes
	// its upstream would look like one that is present there anyhow.
	sampleDelay = time.Second
	// anyInterval is the time between two moments of an upstream that SampleAny takes, anyMargin how long an upstream must have gone on behind one, and anyReach how long ago it
	// may have been.
	anyInterval = 200 * time.Millisecond
	anyMargin   = 100 * time.Millisecond
	anyReach    = 2 * time.Second
)

// live reports whether an upstream goes on, as far as is known: taken for live while it is away, or twice, it would make what is popular look as if it were seldom there.
func (t *Trail) live(u *upstream, now time.Time) bool {
	return t.newest[u.target.ID] == u.target.Incarnation && u.endedAt.IsZero() && u.doubted.IsZero() && now.Sub(u.heardAt) <= liveTime && u.heardAt.After(u.missedAt)
}

// Sample calls take for each live upstream with the requests that it ran at a moment some time ago and those that it had just answered then.
func (t *Trail) Sample(now time.Time, take func(group string, at time.Time, running, behind []ident.Ident)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := now.Add(-sampleDelay)
	for k, u := range t.upstreams {
		u.forget(now)
		switch {
		case len(u.runs) == 0 && now.Sub(u.usedAt) > keepTime:
			delete(t.upstreams, k)
			if t.newest[k.id] == k.incarnation {
				delete(t.newest, k.id)
			}
		case t.live(u, now) && !u.since.After(at):
			running, behind := u.present(at)
			take(u.target.Group, at, running, behind)
		}
	}
}

// SampleAny calls take, for each upstream, with the requests at moments before its last sign of life, each once, and those that it had just answered then. Most are taken where
// upstreams are heard of again, the last ones where they have ended.
func (t *Trail) SampleAny(now time.Time, take func(group string, at time.Time, running, behind []ident.Ident)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.upstreams {
		if u.endedAt.IsZero() && u.doubted.IsZero() {
			u.sampleUntil(u.heardAt, now, take)
		}
	}
	for _, u := range t.ended {
		until := u.endedAt.Add(-u.late)
		if !u.doubted.IsZero() && u.doubted.Before(until) {
			until = u.doubted
		}
		u.sampleUntil(until, now, take)
	}
	t.ended = nil
}

// sampleUntil calls take for the moments of an upstream that are due, before one at which it was there still.
func (u *upstream) sampleUntil(alive, now time.Time, take func(group string, at time.Time, running, behind []ident.Ident)) {
	at := u.anyAt.Add(anyInterval)
	for _, earliest := range []time.Time{u.since.Add(anyMargin), now.Add(-anyReach)} {
		if at.Before(earliest) {
			at = earliest
		}
	}
	for ; at.Before(alive.Add(-anyMargin)); at = at.Add(anyInterval) {
		running, behind := u.present(at)
		take(u.target.Group, at, running, behind)
		u.anyAt = at
	}
}
