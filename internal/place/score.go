package place

import (
	"math"
	"time"

	"damaskreach/internal/call"
	"damaskreach/internal/decay"
)

const (
	usualLoad   = 400 * time.Millisecond // one load, order to confirmation, with the store at full speed
	usualAnswer = 4 * time.Second
	evictCost   = 50 * time.Millisecond  // of loading into a taken slot rather than a free one
	emptyFade   = 2.0                    // requests in the batch by which that cost falls to a third
	hurryCost   = 400 * time.Millisecond // of a full batch to a hurried request
	longAnswer  = 3                      // times the expected tokens that an answer may have
	soon        = 2 * time.Minute        // for which a model of little demand stays resident
	stuckCost   = 15 * time.Second       // of a runner that can free no slot: what a request waits there before it is refused
	prefillTime = 50 * time.Millisecond  // what a cached prefix saves
)

// best returns the runner among those with room that serves c best, and why.
func (p *Place) best(now time.Time, c call.Call, from []*target) (*target, string, string) {
	model := modelOf(c)
	if model == "" || !p.policy.Near {
		return p.least(from), "least", "it had the fewest requests"
	}
	hurried := p.hurried(now, c)
	near := p.prefix.get(now, c.Prefix)
	var best *target
	var bestCost time.Duration
	for _, t := range p.inTurn(from) {
		cost := p.wait(t, model) + p.fullness(t, hurried)
		if t.digest.Runner == near {
			cost -= prefillTime
		}
		if best == nil || cost < bestCost || cost == bestCost && t.load() < best.load() {
			best, bestCost = t, cost
		}
	}
	kind, text := explain(best, model, near)
	return best, kind, text
}

// fullness returns what the number of requests in the batch costs. For most calls an empty batch costs steps that
// serve few requests; for a hurried one a full batch costs longer steps.
func (p *Place) fullness(t *target, hurried bool) time.Duration {
	switch {
	case p.policy.Empty == 0:
		return 0
	case hurried:
		return time.Duration(float64(hurryCost) * float64(t.load()) / float64(t.batch()))
	default:
		return time.Duration(p.emptyShare() * float64(p.policy.Empty) * math.Exp(-float64(t.load())/emptyFade))
	}
}

// emptyShare returns how much of the full cost of an empty batch the setting Stall leaves.
func (p *Place) emptyShare() float64 {
	share := 1 - p.tune.Stall
	if p.policy.Square {
		share *= share
	}
	return share
}

// hurried reports whether a call would miss its deadline in a full batch if its answer came out long.
func (p *Place) hurried(now time.Time, c call.Call) bool {
	if !p.policy.Hurry || c.Deadline.IsZero() {
		return false
	}
	long := time.Duration(longAnswer * float64(c.Tokens) * float64(p.tune.Gap))
	return now.Add(long).After(c.Deadline)
}

// least returns the runner with the fewest requests.
func (p *Place) least(from []*target) *target {
	var best *target
	for _, t := range p.inTurn(from) {
		if best == nil || t.load() < best.load() {
			best = t
		}
	}
	return best
}

// inTurn returns the runners starting with another one each time, so that ties do not all fall on the first.
func (p *Place) inTurn(from []*target) []*target {
	first := int(p.serial % uint64(len(from)))
	return append(append([]*target{}, from[first:]...), from[:first]...)
}

func explain(t *target, model, near string) (kind, text string) {
	switch {
	case t.digest.Runner == near && t.has(model):
		return "prefix", "it likely caches the prompt's opening and has the model resident"
	case t.has(model):
		return "resident", "the model is resident there"
	case t.coming(model):
		return "loading", "the model is being loaded there"
	case t.digest.Free > 0:
		return "free", "it has a free slot for the model"
	default:
		return "replace", "loading the model there has the shortest wait"
	}
}

// wait estimates how long a request for a model would wait before it starts on t.
func (p *Place) wait(t *target, model string) time.Duration {
	wait := p.queued(t)
	switch {
	case t.has(model):
	case t.coming(model):
		wait += p.storeWait(t)
	default:
		wait += p.load + p.storeWait(nil)
		wait += p.slotWait(t)
	}
	return wait
}

// slotWait estimates how long a slot takes to come free.
func (p *Place) slotWait(t *target) time.Duration {
	switch {
	case t.digest.Stuck:
		return stuckCost
	case t.digest.Free > 0:
		return 0
	case t.digest.Idle > 0 && p.policy.Copies:
		return evictCost + p.again(t.digest.Cheap)
	case t.digest.Idle > 0 || p.policy.Empty == 0:
		return evictCost
	default:
		return p.answer / 2
	}
}

// again returns what losing a model costs: a load, as likely as the model is asked for again before long.
func (p *Place) again(count float64) time.Duration {
	perMinute := decay.PerMinute(count, p.tune.HalfLife)
	likely := 1 - math.Exp(-perMinute*soon.Minutes())
	return time.Duration(likely * float64(p.load))
}

// queued estimates the wait for a place in the batch.
func (p *Place) queued(t *target) time.Duration {
	over := t.load() - max(1, t.batch()-p.policy.Room) + 1
	if over <= 0 {
		return 0
	}
	return time.Duration(over) * p.answer / time.Duration(t.batch())
}

// storeWait estimates how long the store takes for the loads that runners are known to wait for:
// half of them for one that is among them, all of them for a new one.
func (p *Place) storeWait(among *target) time.Duration {
	if among != nil {
		return max(p.load/2, time.Duration(p.loading)*p.load/2)
	}
	return time.Duration(p.loading) * p.load
}
