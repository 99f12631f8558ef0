package proxy

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/intent"
	"damaskreach/internal/target"
	"damaskreach/internal/ticker"
	"damaskreach/pkg/refuse"
)

const (
	// hashChoices is the number of engines, chosen by hash, to which an adapter may be loaded for its first request; the least busy gets
	// it. With one, the adapters of a busy engine wait; with many, adapters often reach engines that have not held them before.
	hashChoices = 3
	// speedSteps is the number of steps in which an engine's speed is rounded from one value to half of it, when ranking engines.
	speedSteps = 2
	// loadTimeout bounds the wait for a load. With many adapters loading, one takes seconds; a late answer is worth something, and a
	// caller that is refused only returns to the same queue.
	loadTimeout = 3 * time.Second
	// maxLoadTries is how many engines are tried for a load, as some may be leaving or have just lost their owners; each costs a round trip.
	maxLoadTries = 4
	// maxFailedLoads is how many loads may fail before a request is refused.
	maxFailedLoads = 2
	// maxOwnerWait is how long a request waits for an engine that can load its adapter, and ownerPollInterval how often it checks:
	// hosts that restart wait for a second before they claim engines, and only the next reading of the store shows the claims.
	maxOwnerWait      = 1800 * time.Millisecond
	ownerPollInterval = 50 * time.Millisecond
	// replicaInterval is the shortest time between two loads of one adapter that no request waits for.
	replicaInterval = 400 * time.Millisecond
)

// replicaTimes records when each adapter was last loaded to one more engine.
type replicaTimes struct {
	mu       sync.Mutex
	loadedAt map[string]time.Time
}

// allow reports whether an adapter may be loaded to one more engine now, and records that it is.
func (r *replicaTimes) allow(adapter string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.loadedAt[adapter]) < replicaInterval {
		return false
	}
	if r.loadedAt == nil || len(r.loadedAt) > 10000 {
		r.loadedAt = map[string]time.Time{}
	}
	r.loadedAt[adapter] = now
	return true
}

// chooseLoadTarget returns the engine for an adapter's next load: one that still has its weights, unless that is much busier
// than the others, or else the least busy of the few that the adapter hashes to.
func (p *Proxy) chooseLoadTarget(j *job, others, older []target.Target) target.Target {
	now := time.Now()
	usable := p.loadableEngines(others, now)
	if len(usable) == 0 {
		usable = p.loadableEngines(older, now)
	}
	if len(usable) == 0 {
		return target.Target{}
	}
	best := p.chooseSteady(rankByHash(j.req.Adapter, usable, p.Speeds.Slowdown), now)
	for _, t := range usable {
		if p.Holds.CachedAt(t, j.req.Adapter) && p.Pick.WeightedLoad(t.ID, now) <= 2*p.Pick.WeightedLoad(best.ID, now)+crowdedExtra {
			return t
		}
	}
	return best
}

// chooseSteady returns the first of the hashed engines that is not much busier than the others. Hosts that get requests for one
// adapter at the same time thus choose the same engine; by the momentary load alone, they would have it loaded to several.
func (p *Proxy) chooseSteady(top []target.Target, now time.Time) target.Target {
	minBusy, minWaiting := p.Pick.WeightedLoad(top[0].ID, now), p.Pick.Wait(top[0].ID, now)
	for _, t := range top[1:] {
		minBusy = min(minBusy, p.Pick.WeightedLoad(t.ID, now))
		minWaiting = min(minWaiting, p.Pick.Wait(t.ID, now))
	}
	for _, t := range top {
		if p.Pick.WeightedLoad(t.ID, now) <= crowdedRatio*minBusy+crowdedExtra && p.Pick.Wait(t.ID, now) <= minWaiting+longWait {
			return t
		}
	}
	return p.Pick.Order(top, now)[0]
}

// loadableEngines returns the engines of a list to which an adapter can be loaded now.
func (p *Proxy) loadableEngines(list []target.Target, now time.Time) []target.Target {
	return p.preferUnlimited(filter(list, func(t target.Target) bool { return p.loadable(t.ID, now) }))
}

// loadable reports whether an engine has an owner and is not in backoff.
func (p *Proxy) loadable(id string, now time.Time) bool {
	return !p.Pick.InBackoff(id, now) && p.CanLoad(id)
}

// rankByHash returns the few engines that an adapter hashes to, by rendezvous hashing weighted by speed. The choice is stable,
// so that an evicted adapter returns to an engine that may still have its weights, and changes little when engines come and go.
func rankByHash(adapter string, list []target.Target, slow func(id string) float64) []target.Target {
	top := make([]target.Target, 0, hashChoices+1)
	ranks := make([]float64, 0, hashChoices+1)
	for _, t := range list {
		rank := weightedRank(mixBits(hash(t.ID+"/"+adapter)), slow(t.ID))
		pos := len(top)
		for pos > 0 && ranks[pos-1] < rank {
			pos--
		}
		if pos >= hashChoices {
			continue
		}
		top = append(top[:pos], append([]target.Target{t}, top[pos:]...)...)
		ranks = append(ranks[:pos], append([]float64{rank}, ranks[pos:]...)...)
		if len(top) > hashChoices {
			top, ranks = top[:hashChoices], ranks[:hashChoices]
		}
	}
	return top
}

// weightedRank returns the rank of an engine for an adapter. The speed is rounded to steps, so that small changes of the
// measured speed move no adapters.
func weightedRank(hash uint32, slow float64) float64 {
	step := math.Exp2(math.Round(speedSteps*math.Log2(slow)) / speedSteps)
	return math.Log((float64(hash)+1)/(1<<32+1)) * step
}

// mixBits spreads the bits of a hash, since texts that differ in a few letters have similar ones.
func mixBits(x uint32) uint32 {
	x ^= x >> 16
	x *= 0x85ebca6b
	x ^= x >> 13
	x *= 0xc2b2ae35
	return x ^ x>>16
}

// load has the adapter loaded at an engine and waits for it.
func (p *Proxy) load(ctx context.Context, j *job, others, older []target.Target, version int) (target.Target, int, *refuse.Refusal) {
	noEngine := refuse.NewRefusal(j.verdict(), refuse.NoUpstream, "no engine can load %s now", j.req.Adapter).WithRetry(defaultRetry)
	failures := 0
	for range maxLoadTries {
		others, older = p.filterUsable(others), p.filterUsable(older)
		t := p.chooseLoadTarget(j, others, older)
		left := time.Until(j.sendDeadline())
		if t.ID == "" && failures == 0 && p.awaitOwner(ctx, j) {
			return p.place(ctx, j)
		}
		if t.ID == "" || failures == maxFailedLoads || left <= 0 {
			return target.Target{}, 0, noEngine
		}
		loadCtx, cancel := context.WithTimeout(ctx, min(loadTimeout, left))
		start := time.Now()
		err := p.requestTurn(loadCtx, j, p.newWant(j, t, version, 0))
		cancel()
		if err == nil && p.usable(t) {
			j.note = "loaded"
			p.Holds.ClearMiss(t.ID, j.req.Adapter)
			return t, version, nil
		}
		p.Log.Info("load failed", zap.String("request", j.req.ID), zap.String("adapter", j.req.Adapter), zap.String("target", t.ID),
			zap.Duration("waited", time.Since(start)), zap.String("cause", failureCode(err)), zap.Error(err))
		if ctx.Err() != nil {
			return target.Target{}, 0, p.contextRefusal(ctx, j)
		}
		if p.countsAsFailure(t, err) {
			failures++
		}
		if errors.Is(err, intent.ErrDraining) {
			j.skip(t.ID)
		}
		others, older = withoutID(others, t.ID), withoutID(older, t.ID)
	}
	return target.Target{}, 0, refuse.NewRefusal(j.verdict(), refuse.LoadFailed,
		"loading %s failed at %d engines", j.req.Adapter, maxLoadTries).
		WithRetry(defaultRetry)
}

// countsAsFailure reports whether a failed load suggests that the next may fail too. That is not so if the engine has a new
// owner or leaves.
func (p *Proxy) countsAsFailure(t target.Target, err error) bool {
	return !errors.Is(err, intent.ErrNotOwner) && !errors.Is(err, intent.ErrDraining) && p.usable(t)
}

// failureCode returns the cause of a failed load for the log.
func failureCode(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "no answer"
	}
	return intent.Code(err)
}

// awaitOwner waits a moment if no engine has an owner. It reports false once the request has waited for maxOwnerWait.
// After many hosts have died together, engines have no owner for a second or two; a caller that is refused would retry
// once, within that time, and give up.
func (p *Proxy) awaitOwner(ctx context.Context, j *job) bool {
	now := time.Now()
	if j.noOwnerSince.IsZero() {
		j.noOwnerSince = now
	}
	if now.Sub(j.noOwnerSince) > maxOwnerWait || !now.Add(ownerPollInterval).Before(j.sendDeadline()) {
		return false
	}
	return ticker.Sleep(ctx, ownerPollInterval)
}

// filterUsable drops the engines that began to leave after the list was made; an earlier load may have taken seconds.
func (p *Proxy) filterUsable(list []target.Target) []target.Target {
	v, now := p.View(), time.Now()
	return filter(list, func(t target.Target) bool { return p.usableIn(v, t, now) })
}

// loadReplica has an adapter loaded without a request that waits for it.
func (p *Proxy) loadReplica(t target.Target, j *job, version int) {
	if t.ID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*loadTimeout)
	defer cancel()
	err := p.Admit(ctx, intent.Intent{EngineID: t.ID, Model: j.req.Model, Adapter: j.req.Adapter, Version: version, Background: true})
	if err == nil {
		p.Holds.ClearMiss(t.ID, j.req.Adapter)
	}
	p.Log.Info("adapter replica load ended", zap.String("adapter", j.req.Adapter), zap.String("target", t.ID), zap.Int("version", version),
		zap.Error(err))
}
