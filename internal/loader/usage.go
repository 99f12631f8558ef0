package loader

import (
	"slices"
	"time"

	"damaskreach/internal/usage"
)

const (
	// usageTTL is how long a host's count of its requests is valid.
	usageTTL = 4 * time.Second
	// grantDelay is how long a granted request may take to appear in its host's count.
	grantDelay = 100 * time.Millisecond
	// idleReportTime is how long an idle engine is still reported: longer than other hosts keep its last count.
	idleReportTime = 5 * time.Second
)

// hostUsage is what the requests of one host use on the engine.
type hostUsage struct {
	running   int      // as the host reported
	adapters  []string // that the running requests use
	countedAt time.Time
	grants    []grant // not included in running
}

// grant is a turn that was granted.
type grant struct {
	grantedAt time.Time
	adapter   string
}

// recordUsage records a host's running requests, their adapters and their speed as of countedAt. The count may arrive through relays
// and lacks turns granted shortly before or after it. Without those the engine would be sent more than it can run, and an
// adapter unloaded that a request is about to use.
func (q *promptQueue) recordUsage(u usage.Usage, countedAt time.Time) {
	q.mu.Lock()
	q.tempo.AddReport(u.Host, time.Duration(u.Event)*time.Microsecond, u.Events, countedAt)
	s := q.usageByHost[u.Host]
	if s == nil {
		s = &hostUsage{}
		q.usageByHost[u.Host] = s
	}
	if countedAt.After(s.countedAt) {
		s.running, s.adapters, s.countedAt = u.Running, u.Adapters, countedAt
		s.grants = slices.DeleteFunc(s.grants, func(g grant) bool { return countedAt.Sub(g.grantedAt) > grantDelay })
	}
	q.mu.Unlock()
	q.signal()
}

// eventInterval returns the usual time between two events of a stream on the engine; 0 if unknown.
func (q *promptQueue) eventInterval() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tempo.Gap(time.Now())
}

// restoreEventInterval starts from the event interval that another host measured.
func (q *promptQueue) restoreEventInterval(event time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tempo.SetPrior(event, time.Now())
}

// resetEventInterval discards the measured event interval after the engine has restarted.
func (q *promptQueue) resetEventInterval() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tempo.Reset()
}

// runningRequests returns how many requests run on the engine, and whether to report it: not if it has been idle for long.
func (q *promptQueue) runningRequests() (n int, report bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n = q.countRunning()
	now := time.Now()
	if n > 0 {
		q.lastBusy = now
	}
	return n, now.Sub(q.lastBusy) <= idleReportTime
}

// countRunning adds up the reported requests and the grants since. Reports that have expired count as zero.
func (q *promptQueue) countRunning() int {
	sum := 0
	q.expireUsage(time.Now())
	for _, s := range q.usageByHost {
		sum += s.running + len(s.grants)
	}
	return sum
}

// expireUsage drops expired counts and grants. A host with an expired count may still have a fresh grant.
func (q *promptQueue) expireUsage(now time.Time) {
	for host, s := range q.usageByHost {
		s.grants = slices.DeleteFunc(s.grants, func(g grant) bool { return now.Sub(g.grantedAt) > usageTTL })
		if now.Sub(s.countedAt) <= usageTTL {
			continue
		}
		s.running, s.adapters = 0, nil
		if len(s.grants) == 0 {
			delete(q.usageByHost, host)
		}
	}
}

// usedAdapters returns the adapters that requests use, are about to use, or wait for.
func (q *promptQueue) usedAdapters() map[string]bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	used := map[string]bool{}
	for _, w := range q.waiting {
		used[w.Adapter] = true
	}
	q.expireUsage(time.Now())
	for _, s := range q.usageByHost {
		for _, a := range s.adapters {
			used[a] = true
		}
		for _, g := range s.grants {
			used[g.adapter] = true
		}
	}
	return used
}
