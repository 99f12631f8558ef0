package place

import (
	"time"

	"damaskreach/internal/call"
	"damaskreach/internal/decay"
)

const (
	maxModels = 8192
	minDemand = 0.05
)

// Demand returns the decayed count of requests for the call's model that this home has placed. It is sent with the call, so
// that the owner of the chosen runner knows the demand for the model at the whole site.
func (p *Place) Demand(now time.Time, c call.Call) float64 {
	count := p.demand[modelOf(c)]
	if count == nil || !p.policy.Copies {
		return 0
	}
	return count.At(now, p.tune.HalfLife)
}

// Copies returns, for the owners' schedulers, on how many runners of a group each model is resident.
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

// countRequest adds one request to the demand for a model.
func (p *Place) countRequest(now time.Time, model string) {
	if model == "" {
		return
	}
	count := p.demand[model]
	if count == nil {
		p.trimDemand(now)
		count = &decay.Count{}
		p.demand[model] = count
	}
	count.Add(now, p.tune.HalfLife)
}

// trimDemand drops models with little demand once maxModels is reached.
func (p *Place) trimDemand(now time.Time) {
	if len(p.demand) < maxModels {
		return
	}
	for model, count := range p.demand {
		if count.At(now, p.tune.HalfLife) < minDemand {
			delete(p.demand, model)
		}
	}
}
