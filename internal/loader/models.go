package loader

import (
	"time"

	"golang.org/x/time/rate"

	"damaskreach/internal/model"
)

const (
	// slowLoadFactor is how many times its configured duration a base model load takes when too many run concurrently.
	slowLoadFactor = 1.4
	// maxModelLoads bounds the concurrent loads of base models.
	maxModelLoads = 64
)

// modelLimiter bounds the loads of base models from the weight store. The store serves a few at full speed, and more slow down
// all in proportion: with six loads where one runs at full speed, no engine is ready before six sequential loads would have
// ended. That number is not known, so the window starts at one and adapts to the measured load times.
type modelLimiter struct {
	loading   int // on engines of this host
	window    float64
	rate      *rate.Limiter
	notBefore time.Time
}

// begin reports whether one more load may start while others run on engines of other hosts.
func (m *modelLimiter) begin(others int, limit rate.Limit, burst int, now time.Time) bool {
	if m.window < 1 {
		m.window = 1
	}
	if float64(m.loading+others+1) > m.window || now.Before(m.notBefore) {
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
	m.loading++
	return true
}

// end records the duration of a load; zero means that it was not completed.
func (m *modelLimiter) end(took time.Duration, of model.Model) {
	m.loading--
	switch {
	case took == 0 || of.Load <= 0:
	case float64(took) > slowLoadFactor*float64(of.Load):
		m.window = max(1, m.window/2)
	default:
		m.window = min(maxModelLoads, m.window+1)
	}
}

// beginModelLoad reports whether an engine of this host may start to load a base model from the weight store.
func (l *Loader) beginModelLoad(perSecond float64) bool {
	v := l.View()
	engines := 0
	for _, t := range v.Targets {
		if v.Rules.Pools[t.Group].Engine {
			engines++
		}
	}
	others, delay := l.OtherModelLoads()
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, burst := rate.Inf, 1
	if perSecond > 0 {
		// Half of this host's share is a rate and half a burst, so that no window exceeds the whole.
		share := perSecond / 2 * float64(len(l.drivers)) / float64(max(1, engines))
		limit, burst = rate.Limit(share), max(1, int(share*l.ModelLoadWindow().Seconds()))
	}
	now := time.Now()
	if others > 0 {
		// Hosts that wait for the same load to end must not all start when it does.
		l.modelLoads.notBefore = now.Add(delay)
	}
	return l.modelLoads.begin(others, limit, burst, now)
}

// endModelLoad records the end of a load that beginModelLoad allowed.
func (l *Loader) endModelLoad(took time.Duration, of model.Model) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.modelLoads.end(took, of)
}

// LoadingModels returns how many base models engines of this host are loading from the weight store.
func (l *Loader) LoadingModels() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.modelLoads.loading
}
