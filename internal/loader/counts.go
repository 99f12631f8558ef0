package loader

import (
	"time"

	"damaskreach/internal/memo"
	"damaskreach/internal/spent"
	"damaskreach/internal/usage"
)

// EndTurn records that a turn has ended.
func (l *Loader) EndTurn(s spent.Spent) {
	l.mu.Lock()
	q := l.queues[s.Engine]
	l.mu.Unlock()
	if q != nil {
		q.endTurn(s)
	}
}

// Memos returns, for each engine that this host owns, the state that is to survive the host.
func (l *Loader) Memos() map[string]memo.Memo {
	l.mu.Lock()
	defer l.mu.Unlock()
	memos := map[string]memo.Memo{}
	for id, d := range l.drivers {
		if m := d.memo.Load(); m != nil {
			memos[id] = *m
		}
	}
	return memos
}

// MarkUsed records that requests use adapters on an engine, so that these are not evicted first.
func (l *Loader) MarkUsed(id string, adapters []string, now time.Time) {
	if d := l.driver(id); d != nil {
		d.markUsed(adapters, now)
	}
}

// QueueWaits returns the expected wait of a new prompt at each engine for which this host grants turns.
func (l *Loader) QueueWaits(grants func(id string) bool) map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	waits := map[string]time.Duration{}
	for id, q := range l.queues {
		if !grants(id) {
			continue
		}
		waits[id] = q.expectedWait()
		if d := l.drivers[id]; d != nil {
			waits[id] += d.loadWait()
		}
	}
	return waits
}

// RecordUsage records the hosts' running requests at engines for which this host grants turns: their number, speed and
// adapters, which are therefore not evicted first.
func (l *Loader) RecordUsage(uses []usage.Usage, now time.Time) {
	for _, u := range uses {
		countedAt := u.At(now)
		if q := l.queue(u.Engine); q != nil {
			q.recordUsage(u, countedAt)
		}
		if d := l.driver(u.Engine); d != nil {
			d.markUsed(u.Adapters, countedAt)
		}
	}
}

// RunningRequests returns how many requests run at each engine for which this host grants turns. An engine that became idle a
// moment ago is listed with 0, so that other hosts drop their last count of it.
func (l *Loader) RunningRequests(grants func(id string) bool) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	running := map[string]int{}
	for id, q := range l.queues {
		if n, report := q.runningRequests(); report && grants(id) {
			running[id] = n
		}
	}
	return running
}
