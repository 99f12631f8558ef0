// Package reach tracks whether this host can reach the upstreams over its own connections.
//
// One upstream that cannot be reached may be down; a host that reaches none of several is cut off from them, while callers, other hosts and
// the store may still reach it. From the failures of single sends, the two look alike.
package reach

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"
)

const (
	// dialTimeout bounds a dial: upstreams are some milliseconds away.
	dialTimeout = 300 * time.Millisecond
	// probeTimeout bounds a dial that only checks whether the upstream can be reached.
	probeTimeout = 200 * time.Millisecond
	// starvedFactor is the multiple of its timeout beyond which a dial doesn't count as failed: a host that lacks processor time sees the
	// connection and the timeout at the same moment.
	starvedFactor = 1.5
	// checkInterval is the interval at which Run checks the upstreams.
	checkInterval = 100 * time.Millisecond
	// maxSilence is for how long an upstream that is to answer may send nothing before it is dialled. A healthy one may be silent for longer,
	// and the dial then succeeds.
	maxSilence = 300 * time.Millisecond
	// minUnreached is how many upstreams, or all if there are fewer, must be unreachable for the host to count as cut off.
	minUnreached = 3
	// minFailedDials is how many dials of one upstream must fail before it counts as blocked.
	minFailedDials = 3
	// probeInterval is the pause between two dials of a silent upstream, and between two probes of others while some are unreachable.
	probeInterval = time.Second
	// blameTimeout is the time after a failure within which it shows whether this host's network was the cause.
	blameTimeout = time.Second
	// blamePollInterval is the interval at which IsToBlame checks that.
	blamePollInterval = 50 * time.Millisecond
	// retryInterval is the pause between two dials of an unreachable upstream.
	retryInterval = 400 * time.Millisecond
)

// Reach tracks the upstreams that this host reaches. It may be used from several goroutines. Its fields are set before Run.
type Reach struct {
	// Open opens a direct connection from this host.
	Open func(ctx context.Context, addr string) (net.Conn, error)
	// Addrs returns the addresses of all known upstreams.
	Addrs func() []string
	// Changed, if set, is called with true when this host is cut off, or one upstream is blocked for it, and with false when it
	// reaches some again.
	Changed func(lost bool)
	Log     *zap.Logger

	looks     singleflight.Group // dials of Look, by address
	lastHeard atomic.Int64       // when anything came from any upstream, in Unix nanoseconds
	paths     sync.Map           // *path of each upstream that was sent a request, by address

	mu          sync.Mutex
	failures    map[string]failure
	lastReached time.Time // when a new connection to any upstream was opened
	nextProbe   time.Time // when upstreams may be probed again
	cutSince    time.Time // since when no upstream is reached; zero if some are
	cutEnded    time.Time // when that last ended
}

// path is the state of this host's direct connections to one upstream. Its times are in Unix nanoseconds.
type path struct {
	lastHeard    atomic.Int64 // when anything came
	waitingSince atomic.Int64 // since when an answer is awaited and nothing came; 0 if none is awaited
	lastProbe    atomic.Int64 // when it was last dialled because of its silence
}

// failure is the state of an upstream that was not reached.
type failure struct {
	since          time.Time // start of the first failed dial
	retryAt        time.Time // when it may be dialled again
	failedDials    int
	reachedByOther bool // another host has reached it since
}

// blocked reports whether the upstream is up and only this host fails to reach it. A single failed dial is no proof: a packet
// may have been lost.
func (f failure) blocked() bool { return f.reachedByOther && f.failedDials >= minFailedDials }

// Dial opens a direct connection to an upstream.
func (r *Reach) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return r.dial(ctx, addr, dialTimeout)
}

func (r *Reach) dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	c, err := r.Open(dialCtx, addr)
	if err == nil {
		r.recordSuccess(addr)
		return c, nil
	}
	if ctx.Err() == nil && time.Since(start) < time.Duration(starvedFactor*float64(timeout)) {
		r.recordFailure(addr, start)
	}
	return nil, err
}

// recordSuccess records that an upstream was reached. Requests that still wait for its answer, perhaps given up, no longer
// count as silence.
func (r *Reach) recordSuccess(addr string) {
	r.path(addr).waitingSince.Store(0)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.lastReached = now
	delete(r.failures, addr)
	if r.cutSince.IsZero() {
		return
	}
	r.Log.Warn("upstreams reached again", zap.String("first", addr),
		zap.Duration("after", now.Sub(r.cutSince)), zap.Int("missed", len(r.failures)))
	r.cutSince, r.cutEnded = time.Time{}, now
	r.notify(false)
}

func (r *Reach) notify(cutOff bool) {
	if r.Changed != nil {
		go r.Changed(cutOff)
	}
}

func (r *Reach) recordFailure(addr string, start time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failures == nil {
		r.failures = map[string]failure{}
	}
	f, known := r.failures[addr]
	if !known {
		f.since = start
	}
	f.retryAt = time.Now().Add(retryInterval)
	wasBlocked := f.blocked()
	f.failedDials++
	r.failures[addr] = f
	r.reportBlocked(addr, f, wasBlocked)
}

// reportBlocked reports that an upstream has become blocked, if it has.
func (r *Reach) reportBlocked(addr string, f failure, wasBlocked bool) {
	if wasBlocked || !f.blocked() {
		return
	}
	r.Log.Info("upstream reached by others alone", zap.String("addr", addr), zap.Duration("after", time.Since(f.since)))
	r.notify(true)
}

// Unreachable reports whether an upstream cannot be reached at present, and since when.
func (r *Reach) Unreachable(addr string) (since time.Time, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.cutSince.IsZero() {
		return r.cutSince, true
	}
	f, lost := r.failures[addr]
	return f.since, lost
}

// Retry dials an unreachable upstream again if a retry is due, without waiting for the result.
func (r *Reach) Retry(ctx context.Context, addr string) {
	if r.retryDue(addr) {
		go r.probe(context.WithoutCancel(ctx), addr)
	}
}

// retryDue reports whether a dial of an upstream is due, which the caller then makes. While the host is cut off, Run dials
// upstreams instead.
func (r *Reach) retryDue(addr string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, known := r.failures[addr]
	now := time.Now()
	if !known || !r.cutSince.IsZero() || now.Before(f.retryAt) {
		return false
	}
	f.retryAt = now.Add(retryInterval)
	r.failures[addr] = f
	return true
}

// CutFor returns for how long this host has reached no upstream; 0 if it reaches some.
func (r *Reach) CutFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cutSince.IsZero() {
		return 0
	}
	return max(time.Nanosecond, time.Since(r.cutSince))
}

// IsToBlame waits until it is known whether an upstream caused the failure of a request sent at a time, and reports whether it
// did: not if this host was cut off at some moment since then, nor if the upstream was only silent and has resumed.
func (r *Reach) IsToBlame(addr string, sent, failed time.Time, silent bool) bool {
	for time.Since(failed) < blameTimeout && !r.lostSince(sent) {
		if silent && r.lastHeardFrom(addr) > failed.UnixNano() {
			return false
		}
		if !silent && r.lastHeard.Load() > failed.UnixNano() {
			return true
		}
		time.Sleep(blamePollInterval)
	}
	return !r.lostSince(sent)
}

// lostSince reports whether this host was cut off at some moment since a time.
func (r *Reach) lostSince(since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.cutSince.IsZero() || r.cutEnded.After(since)
}

// ReachedByOther records that another host has opened a connection to an upstream for this one, so the upstream is up.
func (r *Reach) ReachedByOther(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, missed := r.failures[addr]
	if !missed {
		return
	}
	wasBlocked := f.blocked()
	f.reachedByOther = true
	r.failures[addr] = f
	r.reportBlocked(addr, f, wasBlocked)
}

// Blocked returns for how long this host has failed to reach an upstream that others reach; 0 if it reaches it, or no host is known to.
func (r *Reach) Blocked(addr string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.failures[addr]
	switch {
	case !r.cutSince.IsZero():
		return max(time.Nanosecond, time.Since(r.cutSince))
	case !f.blocked():
		return 0
	}
	return max(time.Nanosecond, time.Since(f.since))
}

// Sent records that a request on a direct connection awaits an upstream's answer.
func (r *Reach) Sent(addr string) {
	r.path(addr).waitingSince.CompareAndSwap(0, time.Now().UnixNano())
}

// Received records that something came from an upstream over a direct connection.
func (r *Reach) Received(addr string) {
	now, p := time.Now().UnixNano(), r.path(addr)
	p.waitingSince.Store(0)
	p.lastHeard.Store(now)
	r.lastHeard.Store(now)
}

// LastHeard returns when something last came from an upstream over a direct connection; the zero time where nothing has.
func (r *Reach) LastHeard(addr string) time.Time {
	heard := r.path(addr).lastHeard.Load()
	if heard == 0 {
		return time.Time{}
	}
	return time.Unix(0, heard)
}

func (r *Reach) path(addr string) *path {
	if p, ok := r.paths.Load(addr); ok {
		return p.(*path)
	}
	p, _ := r.paths.LoadOrStore(addr, &path{})
	return p.(*path)
}
