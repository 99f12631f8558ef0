package losses

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// What a load was for, as the tables name it.
const (
	first   = "first time"
	renewed = "new version" // the engine held an older one
	copied  = "copy"        // another engine held it at that moment
	quick   = "back, quick" // it came back to an engine that had it, which its host knew
	slow    = "back, slow"  // the same, but its host did not know
	strayed = "strayed"     // it was held before, but went to an engine that never had it
)

// purposes are the rows of the table of loads.
var purposes = []string{first, renewed, copied, quick, slow, strayed}

// event is a load, an unload, or that an engine began anew.
type event struct {
	at       int64 // Unix nanoseconds
	born     int64 // of the engine, where it began anew
	waited   time.Duration
	target   int32
	adapter  int32
	version  int32
	behind   int32
	unloaded bool
	warm     bool
}

// keep notes an event. Hosts' lines come one file after the other; what a load was for shows once all are in their order.
func (l *Losses) keep(x line) {
	if len(l.events) >= mostEvents {
		l.unkept++
		return
	}
	e := event{
		at: x.at.UnixNano(), born: x.Born, waited: time.Duration(x.Waited), target: l.name(x.Target), adapter: l.name(x.Adapter),
		version: int32(x.Version), behind: l.name(x.Behind), unloaded: x.Msg == "adapter unloaded", warm: x.Warm,
	}
	if x.Msg == "engine known" {
		e.adapter = -1
	} else {
		e.born = 0
	}
	l.events = append(l.events, e)
}

// residence is which engine holds which adapter, and which ever did.
type residence struct {
	born map[int32]int64
	held map[int32]map[int32]int32 // by adapter: version by engine
	had  map[int32]map[int32]bool  // by adapter: engines
}

// purpose returns what a load was for, and takes it.
func (r *residence) purpose(e event) string {
	held, had := r.held[e.adapter], r.had[e.adapter]
	_, here := held[e.target]
	kind := strayed
	switch {
	case here:
		kind = renewed
	case len(held) > 0:
		kind = copied
	case len(had) == 0:
		kind = first
	case had[e.target] && e.warm:
		kind = quick
	case had[e.target]:
		kind = slow
	}
	if held == nil {
		r.held[e.adapter] = map[int32]int32{}
		r.had[e.adapter] = map[int32]bool{}
	}
	r.held[e.adapter][e.target] = e.version
	r.had[e.adapter][e.target] = true
	return kind
}

// anew takes that an engine is known; where it started again it holds nothing.
func (r *residence) anew(e event) {
	if e.born <= r.born[e.target] {
		return
	}
	r.born[e.target] = e.born
	for _, held := range r.held {
		delete(held, e.target)
	}
	for _, had := range r.had {
		delete(had, e.target)
	}
}

// group is the loads of one purpose.
type group struct {
	count  int
	behind map[int32]int // by what they waited for, of those that waited
	waits  []time.Duration
}

// leastWait is the wait from which a load counts as held up: some messages between hosts.
const leastWait = 50 * time.Millisecond

// loads sorts the loads by purpose.
func (l *Losses) loads() map[string]*group {
	slices.SortStableFunc(l.events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	r := &residence{born: map[int32]int64{}, held: map[int32]map[int32]int32{}, had: map[int32]map[int32]bool{}}
	groups := map[string]*group{}
	for _, e := range l.events {
		switch {
		case e.adapter < 0:
			r.anew(e)
		case e.unloaded:
			delete(r.held[e.adapter], e.target)
		default:
			kind := r.purpose(e)
			g, ok := groups[kind]
			if !ok {
				g = &group{behind: map[int32]int{}}
				groups[kind] = g
			}
			g.count++
			g.waits = append(g.waits, e.waited)
			if e.waited >= leastWait {
				g.behind[e.behind]++
			}
		}
	}
	return groups
}

// joinFor is how long before the end of a request its load may lie.
const joinFor = 30 * time.Second

// behind counts the requests that were late behind a load by what the load waited for. It belongs behind loads, which sorts.
func (l *Losses) behind() map[int32]int {
	type place struct{ target, adapter int32 }
	loads := map[place][]event{}
	for _, e := range l.events {
		if e.adapter >= 0 && !e.unloaded {
			at := place{e.target, e.adapter}
			loads[at] = append(loads[at], e)
		}
	}
	counts := map[int32]int{}
	for _, w := range l.waits {
		list := loads[place{w.target, w.adapter}]
		n, _ := slices.BinarySearchFunc(list, w.at, func(e event, at int64) int { return cmp.Compare(e.at, at) })
		switch {
		case n == 0 || w.at-list[n-1].at > joinFor.Nanoseconds():
			counts[math.MinInt32]++
		case list[n-1].waited < leastWait:
			counts[l.name("")]++
		default:
			counts[list[n-1].behind]++
		}
	}
	return counts
}
