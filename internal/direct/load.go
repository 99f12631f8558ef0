package direct

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
	// choices is how many engines an adapter may be loaded to for its first request; the least busy of them gets it. With
	// one alone a busy engine's adapters wait; many make it come to an engine that has not held it before.
	choices = 3
	// slowSteps is in how many steps an engine goes from one speed to half of it, for the choice of where an adapter is loaded.
	slowSteps = 2
	// loadFor bounds the wait for a load. Where many adapters are on their way a load takes seconds; an answer that is late
	// is worth something, and a caller that is refused comes back to the same queue.
	loadFor = 3 * time.Second
	// elsewheres is how many engines are tried, of which some may leave or have hosts that have just lost them; that costs a round trip each.
	elsewheres = 4
	// mostFailed is how many loads may fail before a request is refused.
	mostFailed = 2
	// ownerWait is how long a request waits for some engine to which its adapter can be loaded, and ownerLook the pause between
	// two looks: hosts that restart settle for a second before they claim engines, and a reading of the store follows.
	ownerWait = 1800 * time.Millisecond
	ownerLook = 50 * time.Millisecond
	// spreadEvery is the shortest time between two loads of one adapter that nobody waits for.
	spreadEvery = 400 * time.Millisecond
)

// spread remembers when adapters last got one more engine.
type spread struct {
	mu sync.Mutex
	at map[string]time.Time
}

// due reports whether an adapter may get one more engine now.
func (s *spread) due(adapter string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.at[adapter]) < spreadEvery {
		return false
	}
	if s.at == nil || len(s.at) > 10000 {
		s.at = map[string]time.Time{}
	}
	s.at[adapter] = now
	return true
}

// first returns the engine at which an adapter is loaded next: the one that has its weights at hand, unless that is much
// busier than others, or the least busy of the few that the adapter hashes to.
func (x *Direct) first(j *job, others, older []target.Target) target.Target {
	now := time.Now()
	usable := x.usable(others, now)
	if len(usable) == 0 {
		usable = x.usable(older, now)
	}
	if len(usable) == 0 {
		return target.Target{}
	}
	best := x.steady(ranked(j.d.Adapter, usable, x.Speeds.Slow), now)
	for _, t := range usable {
		if x.Holds.Left(t, j.d.Adapter) && x.Pick.Busy(t.ID, now) <= 2*x.Pick.Busy(best.ID, now)+slack {
			return t
		}
	}
	return best
}

// steady returns the first of the engines that an adapter hashes to which is not much busier than the others. Hosts that
// get requests for one adapter at the same time choose the same engine; chosen by who is the least busy at the moment, they
// would have it loaded to several.
func (x *Direct) steady(top []target.Target, now time.Time) target.Target {
	least, shortest := x.Pick.Busy(top[0].ID, now), x.Pick.Waiting(top[0].ID, now)
	for _, t := range top[1:] {
		least = min(least, x.Pick.Busy(t.ID, now))
		shortest = min(shortest, x.Pick.Waiting(t.ID, now))
	}
	for _, t := range top {
		if x.Pick.Busy(t.ID, now) <= crowded*least+slack && x.Pick.Waiting(t.ID, now) <= shortest+longWait {
			return t
		}
	}
	return x.Pick.Order(top, now)[0]
}

// usable returns the engines to which something can be loaded now.
func (x *Direct) usable(list []target.Target, now time.Time) []target.Target {
	return x.unlimited(kept(list, func(t target.Target) bool { return x.loadable(t.ID, now) }))
}

// loadable reports whether an engine can be given orders, and is not left alone.
func (x *Direct) loadable(id string, now time.Time) bool {
	return !x.Pick.Resting(id, now) && x.Owner(id)
}

// ranked returns the few engines that an adapter hashes to, fast ones more often: weighted rendezvous hashing. The choice is steady, so that
// an adapter which was evicted comes back to an engine that still has its weights at hand, and changes little when engines come and go.
func ranked(adapter string, list []target.Target, slow func(id string) float64) []target.Target {
	top := make([]target.Target, 0, choices+1)
	ranks := make([]float64, 0, choices+1)
	for _, t := range list {
		rank := weighted(mix(hash(t.ID+"/"+adapter)), slow(t.ID))
		at := len(top)
		for at > 0 && ranks[at-1] < rank {
			at--
		}
		if at >= choices {
			continue
		}
		top = append(top[:at], append([]target.Target{t}, top[at:]...)...)
		ranks = append(ranks[:at], append([]float64{rank}, ranks[at:]...)...)
		if len(top) > choices {
			top, ranks = top[:choices], ranks[:choices]
		}
	}
	return top
}

// weighted returns the rank of an engine for an adapter. How slow it is counts in steps: a measurement that moves a little must not send
// adapters elsewhere.
func weighted(sum uint32, slow float64) float64 {
	step := math.Exp2(math.Round(slowSteps*math.Log2(slow)) / slowSteps)
	return math.Log((float64(sum)+1)/(1<<32+1)) * step
}

// mix spreads the bits of a hash of texts that differ in a few letters.
func mix(x uint32) uint32 {
	x ^= x >> 16
	x *= 0x85ebca6b
	x ^= x >> 13
	x *= 0xc2b2ae35
	return x ^ x>>16
}

// load has the adapter loaded and waits for it.
func (x *Direct) load(ctx context.Context, j *job, others, older []target.Target, version int) (target.Target, int, *refuse.Refusal) {
	none := refuse.NewRefusal(j.verdict(), refuse.NoUpstream, "no engine can load %s now", j.d.Adapter).WithRetry(comeBack)
	failures := 0
	for range elsewheres {
		others, older = x.staying(others), x.staying(older)
		t := x.first(j, others, older)
		left := time.Until(j.hopeless())
		if t.ID == "" && failures == 0 && x.awaitOwner(ctx, j) {
			return x.place(ctx, j)
		}
		if t.ID == "" || failures == mostFailed || left <= 0 {
			return target.Target{}, 0, none
		}
		loadCtx, cancel := context.WithTimeout(ctx, min(loadFor, left))
		began := time.Now()
		err := x.admit(loadCtx, j, x.want(j, t, version, 0))
		cancel()
		if err == nil && x.still(t) {
			j.note = "loaded"
			x.Holds.Hit(t.ID, j.d.Adapter)
			return t, version, nil
		}
		x.Log.Info("load failed", zap.String("request", j.d.ID), zap.String("adapter", j.d.Adapter), zap.String("target", t.ID),
			zap.Duration("waited", time.Since(began)), zap.String("cause", cause(err)), zap.Error(err))
		if ctx.Err() != nil {
			return target.Target{}, 0, x.ended(ctx, j)
		}
		if x.failed(t, err) {
			failures++
		}
		if errors.Is(err, intent.ErrDraining) {
			j.skip(t.ID)
		}
		others, older = without(others, t.ID), without(older, t.ID)
	}
	return target.Target{}, 0, refuse.NewRefusal(j.verdict(), refuse.LoadFailed, "loading %s failed at %d engines", j.d.Adapter, elsewheres).WithRetry(comeBack)
}

// failed reports whether a load that was of no use tells that the next may fail too: not where its engine has a new host, or leaves.
func (x *Direct) failed(t target.Target, err error) bool {
	return !errors.Is(err, intent.ErrNotOwner) && !errors.Is(err, intent.ErrDraining) && x.still(t)
}

// cause names why a load failed, for the line about it.
func cause(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "no answer"
	}
	return intent.Code(err)
}

// awaitOwner waits a moment where no engine can be given orders; it reports false where the request has waited long enough.
// After many hosts have ended together, engines have no host for a second or two. A caller that is refused then comes back
// once, to the same refusal, while engines have room for it.
func (x *Direct) awaitOwner(ctx context.Context, j *job) bool {
	now := time.Now()
	if j.ownerless.IsZero() {
		j.ownerless = now
	}
	if now.Sub(j.ownerless) > ownerWait || !now.Add(ownerLook).Before(j.hopeless()) {
		return false
	}
	return ticker.Sleep(ctx, ownerLook)
}

// staying returns the engines of a list that have not begun to leave since it was made: a load before may have taken seconds.
func (x *Direct) staying(list []target.Target) []target.Target {
	v, now := x.View(), time.Now()
	return kept(list, func(t target.Target) bool { return x.stillIn(v, t, now) })
}

// loadAside has an adapter loaded that nobody waits for.
func (x *Direct) loadAside(t target.Target, j *job, version int) {
	if t.ID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*loadFor)
	defer cancel()
	err := x.Admit(ctx, intent.Intent{EngineID: t.ID, Model: j.d.Model, Adapter: j.d.Adapter, Version: version, Background: true})
	if err == nil {
		x.Holds.Hit(t.ID, j.d.Adapter)
	}
	x.Log.Info("adapter spread", zap.String("adapter", j.d.Adapter), zap.String("target", t.ID), zap.Int("version", version),
		zap.Error(err))
}
