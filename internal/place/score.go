package place

import (
	"math"
	"time"

	"damaskreach/internal/call"
	"damaskreach/internal/decay"
)

const (
	initialLoadTime    = 400 * time.Millisecond // one load, from order to confirmation, with the store at full speed
	initialAnswerTime  = 4 * time.Second
	evictCost          = 50 * time.Millisecond  // extra cost of loading into an occupied slot
	emptyBatchDecay    = 2.0                    // requests in the batch at which the cost of an empty batch has fallen to a third
	urgentBatchCost    = 400 * time.Millisecond // cost of a full batch to an urgent request
	longAnswerFactor   = 3                      // longest answer, as a multiple of the expected tokens
	reuseHorizon       = 2 * time.Minute        // how long a model with little demand stays resident
	blockedRunnerCost  = 15 * time.Second       // of a runner that can free no slot: the wait until a request there is refused
	cachedPrefixSaving = 50 * time.Millisecond  // saved by a cached prefix
)

// bestRunner returns the runner with the lowest cost for c among those with room, with the kind and text of the reason.
func (p *Place) bestRunner(now time.Time, c call.Call, from []*target) (*target, string, string) {
	model := modelOf(c)
	if model == "" || !p.policy.Near {
		return p.leastLoaded(from), "least", "it had the fewest requests"
	}
	urgent := p.urgent(now, c)
	cachedOn := p.prefixes.lookup(now, c.Prefix)
	var best *target
	var bestCost time.Duration
	for _, t := range p.rotate(from) {
		cost := p.expectedWait(t, model) + p.batchCost(t, urgent)
		if t.digest.Runner == cachedOn {
			cost -= cachedPrefixSaving
		}
		if best == nil || cost < bestCost || cost == bestCost && t.requests() < best.requests() {
			best, bestCost = t, cost
		}
	}
	kind, text := explain(best, model, cachedOn)
	return best, kind, text
}

// batchCost returns the cost of the number of requests in the batch. For most calls an empty batch costs, since its steps
// serve few requests; for an urgent one a full batch costs, since its steps are longer.
func (p *Place) batchCost(t *target, urgent bool) time.Duration {
	switch {
	case p.policy.Empty == 0:
		return 0
	case urgent:
		return time.Duration(float64(urgentBatchCost) * float64(t.requests()) / float64(t.batchSize()))
	default:
		return time.Duration(p.emptyBatchShare() * float64(p.policy.Empty) * math.Exp(-float64(t.requests())/emptyBatchDecay))
	}
}

// emptyBatchShare returns the factor that the setting Stall applies to the cost of an empty batch.
func (p *Place) emptyBatchShare() float64 {
	share := 1 - p.tune.Stall
	if p.policy.Square {
		share *= share
	}
	return share
}

// urgent reports whether a call with a long answer would miss its deadline in a full batch.
func (p *Place) urgent(now time.Time, c call.Call) bool {
	if !p.policy.Hurry || c.Deadline.IsZero() {
		return false
	}
	longAnswer := time.Duration(longAnswerFactor * float64(c.Tokens) * float64(p.tune.Gap))
	return now.Add(longAnswer).After(c.Deadline)
}

// leastLoaded returns the runner with the fewest requests.
func (p *Place) leastLoaded(from []*target) *target {
	var best *target
	for _, t := range p.rotate(from) {
		if best == nil || t.requests() < best.requests() {
			best = t
		}
	}
	return best
}

// rotate returns the runners from another start each time, so that ties don't always go to the first.
func (p *Place) rotate(from []*target) []*target {
	offset := int(p.choiceCount % uint64(len(from)))
	return append(append([]*target{}, from[offset:]...), from[:offset]...)
}

func explain(t *target, model, cachedOn string) (kind, text string) {
	switch {
	case t.digest.Runner == cachedOn && t.hasModel(model):
		return "prefix", "it likely caches the prompt's opening and has the model resident"
	case t.hasModel(model):
		return "resident", "the model is resident there"
	case t.isLoading(model):
		return "loading", "the model is being loaded there"
	case t.digest.Free > 0:
		return "free", "it has a free slot for the model"
	default:
		return "replace", "loading the model there has the shortest wait"
	}
}

// expectedWait estimates how long a request for a model would wait on t before it starts.
func (p *Place) expectedWait(t *target, model string) time.Duration {
	wait := p.queueWait(t)
	switch {
	case t.hasModel(model):
	case t.isLoading(model):
		wait += p.storeWait(t)
	default:
		wait += p.loadTime + p.storeWait(nil)
		wait += p.slotWait(t)
	}
	return wait
}

// slotWait estimates how long it takes until a slot is free.
func (p *Place) slotWait(t *target) time.Duration {
	switch {
	case t.digest.Stuck:
		return blockedRunnerCost
	case t.digest.Free > 0:
		return 0
	case t.digest.Idle > 0 && p.policy.Copies:
		return evictCost + p.reloadCost(t.digest.Cheap)
	case t.digest.Idle > 0 || p.policy.Empty == 0:
		return evictCost
	default:
		return p.answerTime / 2
	}
}

// reloadCost returns the expected cost of evicting a model: one load, times the probability that it is requested again soon.
func (p *Place) reloadCost(count float64) time.Duration {
	perMinute := decay.PerMinute(count, p.tune.HalfLife)
	likely := 1 - math.Exp(-perMinute*reuseHorizon.Minutes())
	return time.Duration(likely * float64(p.loadTime))
}

// queueWait estimates the wait for a place in the batch.
func (p *Place) queueWait(t *target) time.Duration {
	over := t.requests() - max(1, t.batchSize()-p.policy.Room) + 1
	if over <= 0 {
		return 0
	}
	return time.Duration(over) * p.answerTime / time.Duration(t.batchSize())
}

// storeWait estimates how long the store takes for the pending loads: all of them before a new load, half of them before
// one that is already among them.
func (p *Place) storeWait(loadingOn *target) time.Duration {
	if loadingOn != nil {
		return max(p.loadTime/2, time.Duration(p.pendingLoads)*p.loadTime/2)
	}
	return time.Duration(p.pendingLoads) * p.loadTime
}
