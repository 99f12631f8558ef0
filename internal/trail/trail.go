// Package trail tracks which requests of this host run at which upstreams or have just been answered there: those that may be the cause where one ends.
//
// A request may crash its upstream behind its answer. The break of its connection tells nothing then, as nothing is awaited on it, and the answer looks like that of a
// request that runs well.
package trail

import (
	"sync"
	"time"

	"damaskreach/internal/ident"
	"damaskreach/internal/target"
)

const (
	// behindTime is how long after its answer a request may have been the cause of its upstream's end, with the time that it takes to notice a closed connection, and
	// failedTime how long after an answer that is the upstream's failure, which sound requests seldom get.
	behindTime = 200 * time.Millisecond
	failedTime = 1200 * time.Millisecond
	// settleTime is how long after its answer it is known that its upstream has not ended just behind it.
	settleTime = 400 * time.Millisecond
	// doubtTime is how long it takes at most to find out whether an upstream has ended.
	doubtTime = 3 * time.Second
	// retention is how long requests that ended are kept.
	retention = 2 * doubtTime
	// lookInterval is the shortest time between two looks at an upstream that closes connections behind answers and goes on, and blindInterval where nothing was closed.
	lookInterval  = 300 * time.Millisecond
	blindInterval = 3 * time.Second
	// maxLate bounds the time between two looks at closed connections that is allowed for.
	maxLate = time.Second
	// joinTime is by how much the breaks of one upstream's connections may differ.
	joinTime = 20 * time.Millisecond
	// maxRuns bounds the requests under way that are tracked, some 200 bytes each.
	maxRuns = 20000
)

// Trail may be used from several goroutines.
type Trail struct {
	mu        sync.Mutex
	last      uint64
	runs      map[uint64]*run
	upstreams map[key]*upstream
	newest    map[string]int64 // the incarnation of each upstream, by id, that came last
	waiting   []*run           // answered, and not known to have run well; in the order of their answers
	lookedAt  time.Time        // when connections were last looked at; zero if they never are
	ended     []*upstream      // those that SampleAny has not taken the last moments of
}

// key identifies an incarnation of an upstream.
type key struct {
	id          string
	incarnation int64
}

func keyOf(t target.Target) key { return key{t.ID, t.Incarnation} }

// upstream is one incarnation of an upstream, and the requests that it runs or has run just now.
type upstream struct {
	target   target.Target
	restarts int // how often something went on at its address under its registration after it had ended: a successor that is not registered yet
	runs     []*run
	since    time.Time     // when a request was first sent there
	usedAt   time.Time     // when one last was
	heardAt  time.Time     // when one was last answered, also by a rejection
	missedAt time.Time     // when one last found nothing that listens
	doubted  time.Time     // since when it may have ended; zero if it goes on
	endedAt  time.Time     // zero if it is not known to have ended
	lookedAt time.Time     // when it was last looked at for connections that were closed behind answers
	late     time.Duration // by how much its end may be older than it was noticed
	anyAt    time.Time     // the last moment that SampleAny took
	replaced bool          // whether Replaced has told it
}

// run is one request at one upstream.
type run struct {
	ident    ident.Ident
	at       *upstream
	begunAt  time.Time
	endedAt  time.Time // zero while it runs; the deadline if it was given up
	givenUp  bool
	answered bool // with a whole answer
	failed   bool // the answer is the upstream's failure
}

// behind reports whether a request was answered shortly before a moment.
func (r *run) behind(at time.Time) bool {
	most := behindTime
	if r.failed {
		most = failedTime
	}
	return r.answered && !r.endedAt.After(at) && at.Sub(r.endedAt) <= most+r.at.late
}

// running reports whether a request was at its upstream at a moment.
func (r *run) running(at time.Time) bool {
	if r.begunAt.After(at.Add(joinTime)) {
		return false
	}
	return r.endedAt.IsZero() || r.endedAt.After(at) || !r.answered && !r.endedAt.Before(at.Add(-joinTime))
}

// NewTrail returns a Trail without requests.
func NewTrail() *Trail {
	return &Trail{runs: map[uint64]*run{}, upstreams: map[key]*upstream{}, newest: map[string]int64{}}
}

// Begin records that a request is sent to an upstream, and returns its number; 0 where too many are tracked.
func (t *Trail) Begin(i ident.Ident, to target.Target, now time.Time) (number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.runs) >= maxRuns {
		return 0
	}
	u := t.upstreams[keyOf(to)]
	switch {
	case u == nil:
		u = &upstream{target: to, since: now}
		t.upstreams[keyOf(to)] = u
		t.newest[to.ID] = to.Incarnation
	case !u.endedAt.IsZero():
		u = &upstream{target: to, since: now, restarts: u.restarts + 1}
		t.upstreams[keyOf(to)] = u
	}
	u.usedAt = now
	r := &run{ident: i, at: u, begunAt: now}
	u.runs = append(u.runs, r)
	t.last++
	t.runs[t.last] = r
	return t.last
}

// forget drops the requests that ended long ago.
func (u *upstream) forget(now time.Time) {
	kept := u.runs[:0]
	for _, r := range u.runs {
		if r.endedAt.IsZero() || now.Sub(r.endedAt) <= retention {
			kept = append(kept, r)
		}
	}
	clear(u.runs[len(kept):])
	u.runs = kept
}

// Reject records that an upstream has rejected a request.
func (t *Trail) Reject(number uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.runs[number]; r != nil {
		r.at.heardAt = now
		t.dismiss(number, r)
	}
}

// Miss records that a request did not reach its upstream. It reports, like Lost, whether that is a reason to look whether the upstream has ended.
func (t *Trail) Miss(number uint64, now time.Time) (at target.Target, look bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.runs[number]
	if r == nil {
		return target.Target{}, false
	}
	r.at.missedAt = now
	t.dismiss(number, r)
	return r.at.target, t.suspect(r.at, lookInterval, now)
}

// dismiss forgets a request that was not run.
func (t *Trail) dismiss(number uint64, r *run) {
	delete(t.runs, number)
	for n, other := range r.at.runs {
		if other == r {
			r.at.runs = append(r.at.runs[:n], r.at.runs[n+1:]...)
			return
		}
	}
}

// End records that a request has ended without a whole answer, unless it has ended before.
func (t *Trail) End(number uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.runs[number]; r != nil {
		r.endedAt = now
		delete(t.runs, number)
	}
}

// GiveUp records that a request was given up while its upstream may run it until a moment.
func (t *Trail) GiveUp(number uint64, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.runs[number]; r != nil {
		r.endedAt, r.givenUp = until, true
		delete(t.runs, number)
	}
}

// Answer records the whole answer to a request, which may be its upstream's failure.
func (t *Trail) Answer(number uint64, failed bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.runs[number]
	if r == nil {
		return
	}
	r.endedAt, r.answered, r.failed, r.at.heardAt = now, true, failed, now
	delete(t.runs, number)
	if !failed {
		t.waiting = append(t.waiting, r)
	}
}

// Settle returns the requests that are known by now to have run well, each once: they were answered and their upstreams went on.
func (t *Trail) Settle(now time.Time) (sound []ident.Ident) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) == 0 || now.Sub(t.waiting[0].endedAt) < settleTime {
		return nil
	}
	kept := t.waiting[:0]
	for _, r := range t.waiting {
		switch {
		case now.Sub(r.endedAt) < settleTime, t.unseen(r), r.doubtful(now):
			kept = append(kept, r)
		case r.at.endedAt.IsZero() || !r.behind(r.at.endedAt):
			sound = append(sound, r.ident)
		}
	}
	clear(t.waiting[len(kept):])
	t.waiting = kept
	return sound
}

// unseen reports whether connections have not been looked at since a request was answered, for long enough to notice the end of its upstream.
func (t *Trail) unseen(r *run) bool {
	return !t.lookedAt.IsZero() && t.lookedAt.Sub(r.endedAt) < behindTime
}

// Looked records that all connections that were closed by a moment have been told by Lost.
func (t *Trail) Looked(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lookedAt = at
}

// doubtful reports whether it is not known yet whether a request's upstream ended behind its answer.
func (r *run) doubtful(now time.Time) bool {
	u := r.at
	return u.endedAt.IsZero() && !u.doubted.IsZero() && now.Sub(u.doubted) < doubtTime && r.behind(u.doubted)
}

// Doubt records that an upstream may have ended at a moment, under a request that was sent there at a time.
func (t *Trail) Doubt(to target.Target, sent, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.upstreams[keyOf(to)]; u != nil && u.doubted.IsZero() && !sent.Before(u.since) {
		u.doubted = at
	}
}

// Restarts returns how often an upstream had ended, and something had gone on in its place before its successor was registered, when a request was sent there.
func (t *Trail) Restarts(to target.Target, sent time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[keyOf(to)]
	if u == nil {
		return 0
	}
	if sent.Before(u.since) {
		return max(0, u.restarts-1)
	}
	return u.restarts
}

// Lost records that all idle connections to an address were closed by the upstream there, or, if blind, that no connection can tell. It reports whether that is a reason to look whether the upstream has
// ended: it has just answered requests, or may run some that were given up, and nobody looks yet.
func (t *Trail) Lost(addr string, blind bool, now time.Time) (at target.Target, look bool) {
	interval := lookInterval
	if blind {
		interval = blindInterval
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.upstreams {
		if u.target.Addr == addr && t.suspect(u, interval, now) {
			return u.target, true
		}
	}
	return target.Target{}, false
}

// suspect reports whether an upstream that shows a sign of its end is to be looked at, and notes since when it may have ended: it has just answered requests, or may run some
// that were given up, and nobody looks yet, or has within an interval.
func (t *Trail) suspect(u *upstream, interval time.Duration, now time.Time) bool {
	if !u.doubted.IsZero() || !u.endedAt.IsZero() || now.Sub(u.lookedAt) < interval {
		return false
	}
	if !t.lookedAt.IsZero() {
		u.late = min(now.Sub(t.lookedAt), maxLate)
	}
	for _, r := range u.runs {
		if r.behind(now) || r.givenUp && r.running(now) {
			u.doubted = now
			return true
		}
	}
	return false
}

// Replaced calls take for each upstream that was used lately and is not registered any more, given the registrations, and that is not known to have ended, once, with the time
// when a request was first sent there.
func (t *Trail) Replaced(registered map[string]target.Target, take func(at target.Target, since time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.upstreams {
		known, listed := registered[u.target.ID]
		if listed && known.Incarnation <= u.target.Incarnation || !u.endedAt.IsZero() || u.replaced {
			continue
		}
		u.replaced = true
		take(u.target, u.since)
	}
}

// GoOn records that an upstream that may have ended goes on.
func (t *Trail) GoOn(to target.Target, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.upstreams[keyOf(to)]; u != nil {
		u.doubted, u.lookedAt, u.late = time.Time{}, now, 0
	}
}

// Ended records that an upstream ended at a moment, after a request was sent there at a time, and returns the requests that it ran then and those that it had just
// answered; first is false if its end was known.
func (t *Trail) Ended(to target.Target, sent, at time.Time) (running, behind []ident.Ident, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[keyOf(to)]
	if u == nil || !u.endedAt.IsZero() || sent.Before(u.since) {
		return nil, nil, u == nil
	}
	if !u.doubted.IsZero() && at.After(u.doubted) {
		u.late = min(u.late+at.Sub(u.doubted), maxLate) // it ended at some moment since
	}
	u.endedAt = at
	t.ended = append(t.ended, u)
	running, behind = u.present(at)
	return running, behind, true
}

// present returns the requests that an upstream runs at a moment, and those that it had just answered.
func (u *upstream) present(at time.Time) (running, behind []ident.Ident) {
	for _, r := range u.runs {
		switch {
		case r.running(at):
			running = append(running, r.ident)
		case r.behind(at):
			behind = append(behind, r.ident)
		}
	}
	return running, behind
}
