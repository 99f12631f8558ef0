package giver

import (
	"time"

	"golang.org/x/time/rate"

	"damaskreach/internal/model"
)

const (
	// modelSlow is how many times its stated time a load of a base model takes when too many are on their way.
	modelSlow = 1.4
	// mostModels bounds the loads of base models that are on their way at once.
	mostModels = 64
)

// models bounds the loads of base models from the weight store. The store serves some at full speed, and more take longer in
// proportion: with six on their way at once where one is served at full speed, no engine is ready before the sixth could
// have been in turn. How many those are is not told, so it begins with one and learns from how long loads take.
type models struct {
	under  int // on their way to engines of this host
	window float64
	rate   *rate.Limiter
	after  time.Time // no load begins before it
}

// begin reports whether one more load may begin, with so many on their way to engines of other hosts.
func (m *models) begin(others int, limit rate.Limit, burst int, now time.Time) bool {
	if m.window < 1 {
		m.window = 1
	}
	if float64(m.under+others+1) > m.window || now.Before(m.after) {
		return false
	}
	if m.rate == nil {
		m.rate = rate.NewLimiter(limit, burst)
	}
	m.rate.SetLimit(limit)
	m.rate.SetBurst(burst)
	if !m.rate.AllowN(now, 1) {
		return false
	}
	m.under++
	return true
}

// end takes how long a load took; zero means that it was not completed.
func (m *models) end(took time.Duration, of model.Model) {
	m.under--
	switch {
	case took == 0 || of.Load <= 0:
	case float64(took) > modelSlow*float64(of.Load):
		m.window = max(1, m.window/2)
	default:
		m.window = min(mostModels, m.window+1)
	}
}

// beginModel reports whether an engine of this host may begin to load a base model from the weight store.
func (g *Giver) beginModel(perSecond float64) bool {
	v := g.View()
	all := 0
	for _, t := range v.Targets {
		if v.Rules.Pools[t.Group].Engine {
			all++
		}
	}
	others, first := g.Others()
	g.mu.Lock()
	defer g.mu.Unlock()
	limit, burst := rate.Inf, 1
	if perSecond > 0 {
		// Half of this host's part as a rate and half as a burst, so that no window gets more than the whole.
		part := perSecond / 2 * float64(len(g.desks)) / float64(max(1, all))
		limit, burst = rate.Limit(part), max(1, int(part*g.Window().Seconds()))
	}
	now := time.Now()
	if others > 0 {
		// Hosts that wait for the same load to end do not all begin when it does.
		g.models.after = now.Add(first)
	}
	return g.models.begin(others, limit, burst, now)
}

// endModel takes the end of such a load.
func (g *Giver) endModel(took time.Duration, of model.Model) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.models.end(took, of)
}

// Models returns how many base models are on their way from the weight store to engines of this host.
func (g *Giver) Models() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.models.under
}
