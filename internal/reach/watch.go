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

// Run looks for whether upstreams are reached until ctx ends.
func (r *Reach) Run(ctx context.Context) {
	for range ticker.Every(ctx, lookEvery) {
		r.look(ctx)
	}
}

func (r *Reach) look(ctx context.Context) {
	if cut, missed := r.wrong(); cut || missed {
		addrs := r.Addrs()
		r.forget(addrs)
		if cut {
			r.recover(ctx, addrs)
			return
		}
		r.judge(ctx, addrs)
		r.retryAll(ctx)
	}
	r.tryAll(ctx, r.silent(time.Now()))
}

// wrong reports whether no upstream is reached, and whether some were missed.
func (r *Reach) wrong() (cut, missed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.cut.IsZero(), len(r.missed) > 0
}

// forget drops the upstreams that are gone.
func (r *Reach) forget(addrs []string) {
	there := make(map[string]bool, len(addrs))
	for _, addr := range addrs {
		there[addr] = true
	}
	r.paths.Range(func(addr, _ any) bool {
		if !there[addr.(string)] {
			r.paths.Delete(addr)
		}
		return true
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	for addr := range r.missed {
		if !there[addr] {
			delete(r.missed, addr)
		}
	}
}

// retryAll tries the upstreams that were missed again, each where that is due.
func (r *Reach) retryAll(ctx context.Context) {
	r.mu.Lock()
	missed := slices.Collect(maps.Keys(r.missed))
	r.mu.Unlock()
	for _, addr := range missed {
		r.Retry(ctx, addr)
	}
}

// silent returns upstreams that are to answer, and from which nothing has come for long.
func (r *Reach) silent(now time.Time) (list []string) {
	r.paths.Range(func(addr, value any) bool {
		p := value.(*path)
		waits, tried := p.waits.Load(), p.tried.Load()
		if waits == 0 || now.Sub(time.Unix(0, waits)) < silentFor || now.Sub(time.Unix(0, tried)) < soundFor {
			return true
		}
		p.tried.Store(now.UnixNano())
		list = append(list, addr.(string))
		return len(list) < least
	})
	return list
}

// tryAll dials upstreams, and returns once all dials have ended.
func (r *Reach) tryAll(ctx context.Context, addrs []string) {
	var dials sync.WaitGroup
	for _, addr := range addrs {
		dials.Go(func() { r.try(ctx, addr) })
	}
	dials.Wait()
}

// try opens a connection to an upstream and closes it again.
func (r *Reach) try(ctx context.Context, addr string) {
	c, err := r.dial(ctx, addr, tryFor)
	if err != nil {
		r.Log.Debug("upstream not reached", zap.String("addr", addr), zap.Error(err))
		return
	}
	if err := c.Close(); err != nil {
		r.Log.Debug("connection not closed", zap.String("addr", addr), zap.Error(err))
	}
}

// recover tries one of the upstreams after the other while none is reached.
func (r *Reach) recover(ctx context.Context, addrs []string) {
	if len(addrs) > 0 && r.probes(againEvery) {
		r.try(ctx, addrs[rand.IntN(len(addrs))])
	}
}

// probes reports whether upstreams may be tried now, and not before a pause again.
func (r *Reach) probes(pause time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Before(r.probeAt) {
		return false
	}
	r.probeAt = now.Add(pause)
	return true
}

// judge tries others where some upstreams were missed and none was reached since, and notes that this host has lost its way where none of them is.
func (r *Reach) judge(ctx context.Context, addrs []string) {
	if r.misses() == 0 || len(addrs) == 0 || !r.probes(soundFor) {
		return
	}
	r.tryAll(ctx, r.untried(addrs, least))
	missed := r.misses()
	if missed < min(least, len(addrs)) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut, r.probeAt = time.Now(), time.Time{}
	r.Log.Warn("no upstream is reached", zap.Int("missed", missed), zap.Int("upstreams", len(addrs)), zap.Time("reached", r.reached))
	r.tell(true)
}

// misses returns how many upstreams were missed since one was reached.
func (r *Reach) misses() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.missed {
		if m.at.After(r.reached) {
			n++
		}
	}
	return n
}

// untried returns so many of the upstreams that were not missed: those that were heard last, which are the likeliest to be reached, and others by chance.
func (r *Reach) untried(addrs []string, most int) (list []string) {
	r.mu.Lock()
	for _, i := range rand.Perm(len(addrs)) {
		if _, missed := r.missed[addrs[i]]; !missed {
			list = append(list, addrs[i])
		}
	}
	r.mu.Unlock()
	slices.SortStableFunc(list, func(a, b string) int { return cmp.Compare(r.heardAt(b), r.heardAt(a)) })
	return list[:min(most, len(list))]
}

func (r *Reach) heardAt(addr string) int64 {
	if p, ok := r.paths.Load(addr); ok {
		return p.(*path).heard.Load()
	}
	return 0
}
