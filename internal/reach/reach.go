// Package reach keeps whether this host reaches upstreams by connections of its own.
//
// One upstream that cannot be reached may be gone; a host that reaches none of several has lost its way to them, while callers, other hosts and the
// store may reach it as before. Told from the failures of single sends, the two look alike.
package reach

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/turns"
)

const (
	// dialFor bounds a dial: upstreams are some milliseconds away.
	dialFor = 300 * time.Millisecond
	// starved is how many times longer than its bound a dial may take to count as failed. A host without processor time finds the answer and the end of
	// its wait at the same moment.
	starved = 1.5
	// lookEvery is the pause between two looks at whether upstreams are reached.
	lookEvery = 100 * time.Millisecond
	// silentFor is how long nothing may come from any upstream, while something is waited for, before some are dialled. One upstream may well be silent for
	// longer.
	silentFor = 250 * time.Millisecond
	// least is how many upstreams must not be reached, all that there are where those are fewer, for the host to have lost its way.
	least = 3
	// suspect is how many must have been missed by requests for the others to be tried.
	suspect = 2
	// soundFor is how long after an upstream was reached nothing is suspected.
	soundFor = time.Second
	// judgedIn is within which it shows whether a failure is this host's own.
	judgedIn = time.Second
	// judgeEvery is the pause between two looks at that.
	judgeEvery = 50 * time.Millisecond
	// againEvery is the pause between two tries to reach an upstream that was missed.
	againEvery = 250 * time.Millisecond
)

// Reach may be used from several goroutines. Its fields are set before Run.
type Reach struct {
	// Open opens a connection of this host's own.
	Open func(ctx context.Context, addr string) (net.Conn, error)
	// Addrs returns the addresses of the upstreams that there are.
	Addrs func() []string
	// Changed is told when this host has lost its way to the upstreams, and when it has found it again; it may be nil.
	Changed func(cut bool)
	Log     *zap.Logger

	waits atomic.Int64 // since when something is waited for and nothing was heard, in Unix nanoseconds; 0 where nothing is
	heard atomic.Int64 // when an upstream was last heard, in Unix nanoseconds

	mu      sync.Mutex
	missed  map[string]miss
	reached time.Time // when an upstream was last reached by a new connection
	probeAt time.Time // when upstreams may be tried next
	cut     time.Time // since when no upstream is reached; zero where some are
	healed  time.Time // when that ended last
}

// miss is an upstream that was not reached.
type miss struct {
	at    time.Time // first
	again time.Time // when it is tried again
}

// Dial opens a connection of this host's own to an upstream.
func (r *Reach) Dial(ctx context.Context, addr string) (net.Conn, error) {
	bounded, cancel := context.WithTimeout(ctx, dialFor)
	defer cancel()
	begun := time.Now()
	c, err := r.Open(bounded, addr)
	if err == nil {
		r.found(addr)
		return c, nil
	}
	if ctx.Err() == nil && time.Since(begun) < time.Duration(starved*float64(dialFor)) {
		r.miss(addr, begun)
	}
	return nil, err
}

func (r *Reach) found(addr string) {
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
	clear(r.missed)
	r.tell(false)
}

func (r *Reach) tell(cut bool) {
	if r.Changed != nil {
		go r.Changed(cut)
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
	r.missed[addr] = m
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

// Sound waits until it is plain whether this host kept its way to the upstreams from a time on until a failure at another one, and reports whether it did.
func (r *Reach) Sound(from, failed time.Time) bool {
	for time.Since(failed) < judgedIn && !r.HeardSince(failed) && !r.lostSince(from) {
		time.Sleep(judgeEvery)
	}
	return !r.lostSince(from)
}

// lostSince reports whether this host had lost its way at some moment since a time.
func (r *Reach) lostSince(from time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.cut.IsZero() || r.healed.After(from)
}

// Sent notes that a connection of this host's own waits for an upstream's answer.
func (r *Reach) Sent() {
	r.waits.CompareAndSwap(0, time.Now().UnixNano())
}

// Heard notes that something came over a connection of this host's own.
func (r *Reach) Heard() {
	r.waits.Store(0)
	r.heard.Store(time.Now().UnixNano())
}

// HeardSince reports whether anything came over a connection of this host's own since a time.
func (r *Reach) HeardSince(t time.Time) bool {
	return r.heard.Load() > t.UnixNano()
}

// Run looks for whether upstreams are reached until ctx ends.
func (r *Reach) Run(ctx context.Context) {
	for range turns.Every(ctx, lookEvery) {
		r.look(ctx)
	}
}

func (r *Reach) look(ctx context.Context) {
	now := time.Now()
	if r.sound(now) {
		return
	}
	addrs := r.Addrs()
	r.forget(addrs)
	if r.Cut() > 0 {
		r.recover(ctx, now, addrs)
		return
	}
	if r.suspects(now, len(addrs)) {
		r.probe(ctx, addrs, least)
		r.judge(len(addrs))
	}
}

// recover tries one of the upstreams after the other while none is reached.
func (r *Reach) recover(ctx context.Context, now time.Time, addrs []string) {
	r.mu.Lock()
	due := len(addrs) > 0 && !now.Before(r.probeAt)
	if due {
		r.probeAt = now.Add(againEvery)
	}
	r.mu.Unlock()
	if due {
		r.try(ctx, addrs[rand.IntN(len(addrs))])
	}
}

// sound reports whether nothing is wrong: there is nothing to look for, mostly.
func (r *Reach) sound(now time.Time) bool {
	waits := r.waits.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut.IsZero() && len(r.missed) == 0 && !r.silent(waits, now)
}

// forget drops the upstreams that are gone.
func (r *Reach) forget(addrs []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.missed) == 0 {
		return
	}
	there := make(map[string]bool, len(addrs))
	for _, addr := range addrs {
		there[addr] = true
	}
	for addr := range r.missed {
		if !there[addr] {
			delete(r.missed, addr)
		}
	}
}

// suspects reports whether this host may have lost its way.
func (r *Reach) suspects(now time.Time, upstreams int) bool {
	waits := r.waits.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	if upstreams == 0 || now.Sub(r.reached) < soundFor && !r.silent(waits, now) || now.Before(r.probeAt) {
		return false
	}
	return r.silent(waits, now) || r.misses() >= min(suspect, upstreams)
}

func (r *Reach) silent(waits int64, now time.Time) bool {
	return waits > 0 && now.Sub(time.Unix(0, waits)) >= silentFor
}

// misses returns how many upstreams were missed since one was reached. It needs the lock.
func (r *Reach) misses() (n int) {
	for _, m := range r.missed {
		if m.at.After(r.reached) {
			n++
		}
	}
	return n
}

// probe dials so many of the upstreams, those that were missed last, and ends once all dials have.
func (r *Reach) probe(ctx context.Context, addrs []string, most int) {
	var dials sync.WaitGroup
	for _, addr := range r.untried(addrs, most) {
		dials.Go(func() { r.try(ctx, addr) })
	}
	dials.Wait()
}

// try opens a connection to an upstream and closes it again.
func (r *Reach) try(ctx context.Context, addr string) {
	c, err := r.Dial(ctx, addr)
	if err != nil {
		r.Log.Debug("upstream not reached", zap.String("addr", addr), zap.Error(err))
		return
	}
	if err := c.Close(); err != nil {
		r.Log.Debug("connection not closed", zap.String("addr", addr), zap.Error(err))
	}
}

// untried returns so many of the upstreams, by chance, those first that were not missed.
func (r *Reach) untried(addrs []string, most int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probeAt = time.Now().Add(soundFor)
	var fresh, known []string
	for _, i := range rand.Perm(len(addrs)) {
		if _, ok := r.missed[addrs[i]]; ok {
			known = append(known, addrs[i])
		} else {
			fresh = append(fresh, addrs[i])
		}
	}
	list := append(fresh, known...)
	return list[:min(most, len(list))]
}

// judge notes that this host has lost its way, where it has.
func (r *Reach) judge(upstreams int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	missed := r.misses()
	if missed < min(least, upstreams) || !r.cut.IsZero() {
		return
	}
	r.cut, r.probeAt = time.Now(), time.Time{}
	r.Log.Warn("no upstream is reached", zap.Int("missed", missed), zap.Int("upstreams", upstreams), zap.Time("reached", r.reached))
	r.tell(true)
}
