// Package reach keeps whether this host reaches upstreams by connections of its own.
//
// One upstream that cannot be reached may be gone; a host that reaches none of several has lost its way to them, while callers, other hosts and the
// store may reach it as before. Told from the failures of single sends, the two look alike.
package reach

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	// dialFor bounds a dial: upstreams are some milliseconds away.
	dialFor = 300 * time.Millisecond
	// tryFor is the same for one that only tells whether the upstream is reached.
	tryFor = 200 * time.Millisecond
	// starved is how many times longer than its bound a dial may take to count as failed. A host without processor time finds the answer and the end of
	// its wait at the same moment.
	starved = 1.5
	// lookEvery is the pause between two looks at whether upstreams are reached.
	lookEvery = 100 * time.Millisecond
	// silentFor is how long nothing may come from an upstream that is to answer before it is dialled: a sound one may be silent for longer, and is reached
	// then.
	silentFor = 300 * time.Millisecond
	// least is how many upstreams must not be reached, all that there are where those are fewer, for the host to have lost its way.
	least = 3
	// leastTries is how many dials of one upstream must have failed for this host's way to it to be lost.
	leastTries = 3
	// soundFor is the pause between two dials of an upstream for its silence, and between two looks at others where some are missed.
	soundFor = time.Second
	// judgedIn is within which it shows whether a failure is this host's own.
	judgedIn = time.Second
	// judgeEvery is the pause between two looks at that.
	judgeEvery = 50 * time.Millisecond
	// againEvery is the pause between two tries to reach an upstream that was missed.
	againEvery = 400 * time.Millisecond
)

// Reach may be used from several goroutines. Its fields are set before Run.
type Reach struct {
	// Open opens a connection of this host's own.
	Open func(ctx context.Context, addr string) (net.Conn, error)
	// Addrs returns the addresses of the upstreams that there are.
	Addrs func() []string
	// Changed is told when this host has lost its way to the upstreams, or to one that others reach, and when it reaches some again; it may be nil.
	Changed func(lost bool)
	Log     *zap.Logger

	heard atomic.Int64 // when an upstream was last heard, in Unix nanoseconds
	paths sync.Map     // *path of each upstream that was sent something, by address

	mu      sync.Mutex
	missed  map[string]miss
	reached time.Time // when an upstream was last reached by a new connection
	probeAt time.Time // when upstreams may be tried next
	cut     time.Time // since when no upstream is reached; zero where some are
	healed  time.Time // when that ended last
}

// path is what goes over this host's own connections to one upstream. Its times are in Unix nanoseconds.
type path struct {
	heard atomic.Int64 // when something came last
	waits atomic.Int64 // since when an answer is waited for and nothing was heard; 0 where none is
	tried atomic.Int64 // when it was last dialled for its silence
}

// miss is an upstream that was not reached.
type miss struct {
	at    time.Time // first
	again time.Time // when it is tried again
	tries int       // that failed
	byway bool      // another host has reached it since
}

// blocked reports whether it is this host's way to the upstream that is lost: one packet that was lost tells nothing.
func (m miss) blocked() bool { return m.byway && m.tries >= leastTries }

// Dial opens a connection of this host's own to an upstream.
func (r *Reach) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return r.dial(ctx, addr, dialFor)
}

func (r *Reach) dial(ctx context.Context, addr string, bound time.Duration) (net.Conn, error) {
	bounded, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	begun := time.Now()
	c, err := r.Open(bounded, addr)
	if err == nil {
		r.found(addr)
		return c, nil
	}
	if ctx.Err() == nil && time.Since(begun) < time.Duration(starved*float64(bound)) {
		r.miss(addr, begun)
	}
	return nil, err
}

// found notes that an upstream was reached. What waits for its answer, and may have been given up, says nothing any more.
func (r *Reach) found(addr string) {
	r.path(addr).waits.Store(0)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.reached = now
	delete(r.missed, addr)
	if r.cut.IsZero() {
		return
	}
	r.Log.Warn("upstreams reached again", zap.String("first", addr), zap.Duration("after", now.Sub(r.cut)), zap.Int("missed", len(r.missed)))
	r.cut, r.healed = time.Time{}, now
	r.tell(false)
}

func (r *Reach) tell(lost bool) {
	if r.Changed != nil {
		go r.Changed(lost)
	}
}

func (r *Reach) miss(addr string, begun time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.missed == nil {
		r.missed = map[string]miss{}
	}
	m, known := r.missed[addr]
	if !known {
		m.at = begun
	}
	m.again = time.Now().Add(againEvery)
	was := m.blocked()
	m.tries++
	r.missed[addr] = m
	r.block(addr, m, was)
}

// block tells that it has turned out to be this host's way to an upstream that is lost.
func (r *Reach) block(addr string, m miss, was bool) {
	if was || !m.blocked() {
		return
	}
	r.Log.Info("upstream reached by others alone", zap.String("addr", addr), zap.Duration("after", time.Since(m.at)))
	r.tell(true)
}

// Lost reports whether an upstream is not reached at present, and since when.
func (r *Reach) Lost(addr string) (since time.Time, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.cut.IsZero() {
		return r.cut, true
	}
	m, lost := r.missed[addr]
	return m.at, lost
}

// Retry tries an upstream that is not reached again where that is due, and does not wait for it.
func (r *Reach) Retry(ctx context.Context, addr string) {
	if r.due(addr) {
		go r.try(context.WithoutCancel(ctx), addr)
	}
}

// due reports whether an upstream is to be tried again now, which whoever asks does. A host that reaches no upstream tries them by itself.
func (r *Reach) due(addr string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, known := r.missed[addr]
	now := time.Now()
	if !known || !r.cut.IsZero() || now.Before(m.again) {
		return false
	}
	m.again = now.Add(againEvery)
	r.missed[addr] = m
	return true
}

// Cut returns for how long this host has reached no upstream; 0 where it reaches some.
func (r *Reach) Cut() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut.IsZero() {
		return 0
	}
	return max(time.Nanosecond, time.Since(r.cut))
}

// Blames waits until it is plain whether an upstream is to blame for a failure under what was sent at a time, and reports whether it is: not where this host
// has lost its way to the upstreams since, nor where the upstream was only silent, and goes on.
func (r *Reach) Blames(addr string, sent, failed time.Time, silent bool) bool {
	for time.Since(failed) < judgedIn && !r.lostSince(sent) {
		if silent && r.heardAt(addr) > failed.UnixNano() {
			return false
		}
		if !silent && r.heard.Load() > failed.UnixNano() {
			return true
		}
		time.Sleep(judgeEvery)
	}
	return !r.lostSince(sent)
}

// lostSince reports whether this host had lost its way at some moment since a time.
func (r *Reach) lostSince(from time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.cut.IsZero() || r.healed.After(from)
}

// Byway notes that another host has opened a connection to an upstream for this one: it is this host's way that is lost, and not the upstream.
func (r *Reach) Byway(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, missed := r.missed[addr]
	if !missed {
		return
	}
	was := m.blocked()
	m.byway = true
	r.missed[addr] = m
	r.block(addr, m, was)
}

// Blocked returns for how long this host has not reached an upstream that others reach; 0 where it reaches it, or nobody may.
func (r *Reach) Blocked(addr string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.missed[addr]
	switch {
	case !r.cut.IsZero():
		return max(time.Nanosecond, time.Since(r.cut))
	case !m.blocked():
		return 0
	}
	return max(time.Nanosecond, time.Since(m.at))
}

// Sent notes that a connection of this host's own waits for an upstream's answer.
func (r *Reach) Sent(addr string) {
	r.path(addr).waits.CompareAndSwap(0, time.Now().UnixNano())
}

// Heard notes that something came over a connection of this host's own.
func (r *Reach) Heard(addr string) {
	now, p := time.Now().UnixNano(), r.path(addr)
	p.waits.Store(0)
	p.heard.Store(now)
	r.heard.Store(now)
}

func (r *Reach) path(addr string) *path {
	if p, ok := r.paths.Load(addr); ok {
		return p.(*path)
	}
	p, _ := r.paths.LoadOrStore(addr, &path{})
	return p.(*path)
}
