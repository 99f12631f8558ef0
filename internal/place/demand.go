package place

import (
	"time"

	"damaskreach/internal/call"
	"damaskreach/internal/decay"
)

const (
	mostModels   = 8192
	littleDemand = 0.05
)

// Demand returns the decayed count of requests for the call's model that this home has placed.
// The owner of the chosen runner gets it with the call and so knows what the model is worth to the whole site.
func (p *Place) Demand(now time.Time, c call.Call) float64 {
	known := p.demand[modelOf(c)]
	if known == nil || !p.policy.Copies {
		return 0
	}
	return known.At(now, p.tune.HalfLife)
}

// Copies returns how many runners of a group have each model resident, for the owners' schedulers.
func (p *Place) Copies(group string) map[string]int {
	counts := map[string]int{}
	for _, t := range p.runners {
		if t.digest.Group != group || t.digest.Closed {
			continue
		}
		for _, model := range t.digest.Resident {
			counts[model]++
		}
	}
	return counts
}

// count counts one request for a model.
func (p *Place) count(now time.Time, model string) {
	if model == "" {
		return
	}
	known := p.demand[model]
	if known == nil {
		p.trim(now)
		known = &decay.Count{}
		p.demand[model] = known
	}
	known.Add(now, p.tune.HalfLife)
}

// trim drops models that are hardly asked for any more once there are many.
func (p *Place) trim(now time.Time) {
	if len(p.demand) < mostModels {
		return
	}
	for model, known := range p.demand {
		if known.At(now, p.tune.HalfLife) < littleDemand {
			delete(p.demand, model)
		}
	}
}
