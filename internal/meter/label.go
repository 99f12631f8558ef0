package meter

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"damaskreach/internal/call"
	"damaskreach/internal/prom"
	"damaskreach/internal/timing"
	"damaskreach/internal/tune"
)

const (
	other = "other" // name of the sum of those not kept
	none  = "none"  // name of calls that have no such label

	seenTimes  = 8 // names counted for each one kept
	swapFactor = 2 // how much busier a new name must be than the least busy one kept, so that they do not take turns
)

// label keeps the series of its busiest names. When a busier name takes the place of another, what the other had counted
// goes to "other", so that sums over all names never fall; its own series ends like that of a process that stops.
type label struct {
	name   string
	most   int
	read   func(c call.Call) string
	series map[string]*series
	other  *series
	seen   map[string]int // requests by name, for those lately seen
}

func newLabel(name string, most int, read func(c call.Call) string) *label {
	return &label{name: name, most: most, read: read, series: map[string]*series{}, other: newSeries(), seen: map[string]int{}}
}

// of returns the series for a call.
func (l *label) of(c call.Call) *series {
	name := l.read(c)
	if name == "" {
		name = none
	}
	l.note(name)
	if s := l.series[name]; s != nil {
		return s
	}
	if len(l.series) < l.most {
		l.series[name] = newSeries()
		return l.series[name]
	}
	return l.swap(name)
}

// note counts a name. When too many are counted all counts are halved and those that reach zero are forgotten: a name
// asked for once among 57,000 does not stay.
func (l *label) note(name string) {
	l.seen[name]++
	for len(l.seen) > l.most*seenTimes {
		for n, times := range l.seen {
			l.seen[n] = times / 2
			if times < 2 {
				delete(l.seen, n)
			}
		}
	}
}

// swap gives a name the place of the least busy one if it is clearly busier, and returns its series or that of all others.
func (l *label) swap(name string) *series {
	least := ""
	for kept := range l.series {
		if least == "" || l.seen[kept] < l.seen[least] || l.seen[kept] == l.seen[least] && kept < least {
			least = kept
		}
	}
	if l.seen[name] <= swapFactor*(l.seen[least]+1) {
		return l.other
	}
	l.other.add(l.series[least])
	delete(l.series, least)
	l.series[name] = newSeries()
	return l.series[name]
}

// series are the histograms of one name.
type series struct {
	first   *prom.Times
	between *prom.Times
	wait    *prom.Times
	stall   *prom.Times
	late    metrics.Counter // answers whose first piece came after its target
	slow    metrics.Counter // answers whose pieces came further apart than their target
}

func newSeries() *series {
	return &series{
		first: prom.NewTimes(), between: prom.NewTimes(), wait: prom.NewTimes(), stall: prom.NewTimes(),
		late: metrics.NewCounter(), slow: metrics.NewCounter(),
	}
}

func (s *series) answered(t timing.Timing, target tune.Tune) {
	if t.First.IsZero() {
		return
	}
	first, gap := t.First.Sub(t.Start), between(t)
	s.first.Add(first)
	if first > target.First {
		s.late.Inc(1)
	}
	if gap > 0 {
		s.between.Add(gap)
	}
	if gap > target.Gap {
		s.slow.Inc(1)
	}
}

func (s *series) started(wait, stall time.Duration) {
	s.wait.Add(wait)
	s.stall.Add(stall)
}

func (s *series) add(more *series) {
	s.first.Merge(more.first)
	s.between.Merge(more.between)
	s.wait.Merge(more.wait)
	s.stall.Merge(more.stall)
	s.late.Inc(more.late.Count())
	s.slow.Inc(more.slow.Count())
}
