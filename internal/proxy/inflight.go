package proxy

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// maxUnfinishedLogged bounds the requests that are logged at the end of the process, so that its last lines are written in time.
const maxUnfinishedLogged = 50

// inFlight is the set of requests in progress. It may be used from several goroutines.
type inFlight struct {
	mu   sync.Mutex
	jobs map[*job]bool
}

func (f *inFlight) add(j *job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.jobs == nil {
		f.jobs = map[*job]bool{}
	}
	f.jobs[j] = true
}

func (f *inFlight) remove(j *job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.jobs, j)
}

// LogUnfinished logs each request that is in progress when the process ends: it gets no other line.
func (p *Proxy) LogUnfinished() {
	p.inFlight.mu.Lock()
	defer p.inFlight.mu.Unlock()
	named := 0
	for j := range p.inFlight.jobs {
		if named++; named > maxUnfinishedLogged {
			return
		}
		p.Log.Info("request left at the end", zap.String("request", j.req.ID), zap.String("adapter", j.req.Adapter),
			zap.Duration("since", time.Since(j.start)))
	}
}
