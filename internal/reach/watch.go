package reach

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/ticker"
)

// Run checks whether the upstreams can be reached, until ctx ends.
func (r *Reach) Run(ctx context.Context) {
	for range ticker.Every(ctx, checkInterval) {
		r.check(ctx)
	}
}

func (r *Reach) check(ctx context.Context) {
	if cut, missed := r.state(); cut || missed {
		addrs := r.Addrs()
		r.forget(addrs)
		if cut {
			r.probeAny(ctx, addrs)
			return
		}
		r.checkConnectivity(ctx, addrs)
		r.retryAll(ctx)
	}
	r.probeAll(ctx, r.silentUpstreams(time.Now()))
}

// state reports whether no upstream is reached, and whether some were not.
func (r *Reach) state() (cut, missed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.cutSince.IsZero(), len(r.failures) > 0
}

// forget drops upstreams that no longer exist.
func (r *Reach) forget(addrs []string) {
	known := make(map[string]bool, len(addrs))
	for _, addr := range addrs {
		known[addr] = true
	}
	r.paths.Range(func(addr, _ any) bool {
		if !known[addr.(string)] {
			r.paths.Delete(addr)
		}
		return true
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	for addr := range r.failures {
		if !known[addr] {
			delete(r.failures, addr)
		}
	}
}

// retryAll dials each unreachable upstream whose retry is due.
func (r *Reach) retryAll(ctx context.Context) {
	r.mu.Lock()
	missed := slices.Collect(maps.Keys(r.failures))
	r.mu.Unlock()
	for _, addr := range missed {
		r.Retry(ctx, addr)
	}
}

// silentUpstreams returns upstreams that are to answer and have been silent for long, and marks them as probed.
func (r *Reach) silentUpstreams(now time.Time) (list []string) {
	r.paths.Range(func(addr, value any) bool {
		p := value.(*path)
		waitingSince, lastProbe := p.waitingSince.Load(), p.lastProbe.Load()
		if waitingSince == 0 || now.Sub(time.Unix(0, waitingSince)) < maxSilence || now.Sub(time.Unix(0, lastProbe)) < probeInterval {
			return true
		}
		p.lastProbe.Store(now.UnixNano())
		list = append(list, addr.(string))
		return len(list) < minUnreached
	})
	return list
}

// probeAll probes upstreams in parallel and waits for all of them.
func (r *Reach) probeAll(ctx context.Context, addrs []string) {
	var dials sync.WaitGroup
	for _, addr := range addrs {
		dials.Go(func() { r.probe(ctx, addr) })
	}
	dials.Wait()
}

// probe opens a connection to an upstream and closes it again.
func (r *Reach) probe(ctx context.Context, addr string) {
	c, err := r.dial(ctx, addr, probeTimeout)
	if err != nil {
		r.Log.Debug("upstream not reached", zap.String("addr", addr), zap.Error(err))
		return
	}
	if err := c.Close(); err != nil {
		r.Log.Debug("connection not closed", zap.String("addr", addr), zap.Error(err))
	}
}

// probeAny probes a random upstream. It is called while none is reached.
func (r *Reach) probeAny(ctx context.Context, addrs []string) {
	if len(addrs) > 0 && r.claimProbe(retryInterval) {
		r.probe(ctx, addrs[rand.IntN(len(addrs))])
	}
}

// claimProbe reports whether upstreams may be probed now. If so, the next probe may come only after a pause.
func (r *Reach) claimProbe(pause time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Before(r.nextProbe) {
		return false
	}
	r.nextProbe = now.Add(pause)
	return true
}

// checkConnectivity probes further upstreams if some have failed and none was reached since. If none of those is reached
// either, the host is cut off.
func (r *Reach) checkConnectivity(ctx context.Context, addrs []string) {
	if r.countFailures() == 0 || len(addrs) == 0 || !r.claimProbe(probeInterval) {
		return
	}
	r.probeAll(ctx, r.probeCandidates(addrs, minUnreached))
	missed := r.countFailures()
	if missed < min(minUnreached, len(addrs)) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutSince, r.nextProbe = time.Now(), time.Time{}
	r.Log.Warn("no upstream is reached", zap.Int("missed", missed), zap.Int("upstreams", len(addrs)), zap.Time("reached", r.lastReached))
	r.notify(true)
}

// countFailures returns how many upstreams have failed since one was last reached.
func (r *Reach) countFailures() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.failures {
		if f.since.After(r.lastReached) {
			n++
		}
	}
	return n
}

// probeCandidates returns up to limit upstreams that have not failed: the ones heard from last, which are the likeliest to be
// reached, and then random ones.
func (r *Reach) probeCandidates(addrs []string, limit int) (list []string) {
	r.mu.Lock()
	for _, i := range rand.Perm(len(addrs)) {
		if _, missed := r.failures[addrs[i]]; !missed {
			list = append(list, addrs[i])
		}
	}
	r.mu.Unlock()
	slices.SortStableFunc(list, func(a, b string) int { return cmp.Compare(r.lastHeardFrom(b), r.lastHeardFrom(a)) })
	return list[:min(limit, len(list))]
}

func (r *Reach) lastHeardFrom(addr string) int64 {
	if p, ok := r.paths.Load(addr); ok {
		return p.(*path).lastHeard.Load()
	}
	return 0
}
