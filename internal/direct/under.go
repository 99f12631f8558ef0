package direct

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// mostUnder is how many requests under way are named at the end of the process, so that the last lines are written in time.
const mostUnder = 50

// under is the requests under way. It may be used from several goroutines.
type under struct {
	mu   sync.Mutex
	jobs map[*job]bool
}

func (u *under) add(j *job) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.jobs == nil {
		u.jobs = map[*job]bool{}
	}
	u.jobs[j] = true
}

func (u *under) remove(j *job) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.jobs, j)
}

// Left writes a line for each request that is under way when the process ends: nothing else tells of it, since its own last line is not written.
func (x *Direct) Left() {
	x.under.mu.Lock()
	defer x.under.mu.Unlock()
	named := 0
	for j := range x.under.jobs {
		if named++; named > mostUnder {
			return
		}
		x.Log.Info("request left at the end", zap.String("request", j.d.ID), zap.String("adapter", j.d.Adapter), zap.Duration("since", time.Since(j.begun)))
	}
}
