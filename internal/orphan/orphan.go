// Package orphan tracks requests that this host has given up while their upstreams may still run them.
//
// A request may crash its upstream when its host waits no longer. The break of its connection, which would tell so, is then not to be had: the host has
// closed it. What the upstreams register tells it some seconds later.
package orphan

import (
	"slices"
	"sync"
	"time"

	"damaskreach/internal/ident"
	"damaskreach/internal/target"
)

const (
	// lapseTime is how long after the last moment at which a request may run the end of its upstream may become known: registrations lapse some
	// heartbeats after the last one.
	lapseTime = 6 * time.Second
	// maxRuns bounds the runs that are tracked, some 300 bytes each.
	maxRuns = 5000
)

// Orphan may be used from several goroutines. The zero value tracks nothing.
type Orphan struct {
	mu   sync.Mutex
	runs map[key]run
}

// key identifies what a run tells: further runs of the same request at one incarnation of an upstream tell nothing more.
type key struct {
	fingerprint, id string
	incarnation     int64
}

func keyOf(i ident.Ident, t target.Target) key { return key{i.Fingerprint, t.ID, t.Incarnation} }

// run is a request that was given up.
type run struct {
	ident   ident.Ident
	target  target.Target // where it was sent
	givenUp time.Time
	until   time.Time // when it is forgotten
	// beside are the other registrations at the upstream's address when it was first looked at: those of its predecessors lapse late. A later one is
	// of its successor.
	beside []string
	looked bool
	dialed bool // whether it was dialled once its registration had lapsed, and did not refuse
}

// Add tracks a request that was given up and may run until its deadline. It does nothing where too many are tracked.
func (o *Orphan) Add(i ident.Ident, t target.Target, deadline, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.runs == nil {
		o.runs = map[key]run{}
	}
	k := keyOf(i, t)
	r, known := o.runs[k]
	switch until := deadline.Add(lapseTime); {
	case known:
		r.givenUp = now
		if until.After(r.until) {
			r.until = until
		}
		o.runs[k] = r
	case len(o.runs) < maxRuns:
		o.runs[k] = run{ident: i, target: t, givenUp: now, until: until}
	}
}

// Check calls ended for each run whose upstream has ended since without having announced it, given the registrations. It drops these runs and those that
// can tell nothing any more. leaves reports whether an upstream has announced that it leaves, refuses whether nothing listens at an address.
func (o *Orphan) Check(
	registered map[string]target.Target, leaves func(t target.Target) bool, refuses func(addr string) bool, now time.Time,
	ended func(i ident.Ident, t target.Target, givenUp time.Time),
) {
	o.drop(func(r run) bool {
		t, known := registered[r.target.ID]
		return now.After(r.until) || leaves(r.target) || known && t.Draining
	})
	at := o.registeredAt(registered)
	silent := map[string]bool{} // whether nothing listens, by address
	for _, r := range o.look(at) {
		addr := r.target.Addr
		current, known := registered[r.target.ID]
		replaced := known && !current.SameIncarnation(r.target) || slices.ContainsFunc(at[addr], func(t target.Target) bool {
			return t.ID != r.target.ID && !slices.Contains(r.beside, t.ID)
		})
		if known && !replaced {
			continue
		}
		if _, dialled := silent[addr]; !dialled && !replaced && !r.dialed {
			silent[addr] = refuses(addr)
		}
		if replaced || silent[addr] {
			ended(r.ident, r.target, r.givenUp)
			o.forget(r)
			continue
		}
		// One that is not registered any more and does not refuse tells by its successor alone: dialling it each second would hold its slots.
		o.noteDialed(r)
	}
}

// End calls count for each run at an incarnation of an upstream that is known to have ended at a time, and that it may have run then, and drops these runs.
func (o *Orphan) End(t target.Target, ended time.Time, count func(i ident.Ident, givenUp time.Time)) {
	var under []run
	o.drop(func(r run) bool {
		mayRun := r.target.SameIncarnation(t) && !r.givenUp.After(ended) && !r.until.Add(-lapseTime).Before(ended)
		if mayRun {
			under = append(under, r)
		}
		return mayRun
	})
	for _, r := range under {
		count(r.ident, r.givenUp)
	}
}

func (o *Orphan) noteDialed(r run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	k := keyOf(r.ident, r.target)
	if noted, tracked := o.runs[k]; tracked {
		noted.dialed = true
		o.runs[k] = noted
	}
}

func (o *Orphan) forget(r run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.runs, keyOf(r.ident, r.target))
}

func (o *Orphan) drop(unwanted func(r run) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for k, r := range o.runs {
		if unwanted(r) {
			delete(o.runs, k)
		}
	}
}

// registeredAt returns the registrations at the addresses of the tracked runs.
func (o *Orphan) registeredAt(registered map[string]target.Target) map[string][]target.Target {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.runs) == 0 {
		return nil
	}
	at := map[string][]target.Target{}
	for _, r := range o.runs {
		at[r.target.Addr] = nil
	}
	for _, t := range registered {
		if list, tracked := at[t.Addr]; tracked {
			at[t.Addr] = append(list, t)
		}
	}
	return at
}

// look returns the tracked runs and notes what is registered beside those that are looked at for the first time.
func (o *Orphan) look(at map[string][]target.Target) (list []run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for k, r := range o.runs {
		if !r.looked {
			r.looked = true
			for _, t := range at[r.target.Addr] {
				if t.ID != r.target.ID {
					r.beside = append(r.beside, t.ID)
				}
			}
			o.runs[k] = r
		}
		list = append(list, r)
	}
	return list
}
