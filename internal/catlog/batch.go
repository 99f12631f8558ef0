package catlog

import (
	"maps"
	"strings"

	"damaskreach/internal/fault"
	"damaskreach/internal/rows"
	"damaskreach/internal/stamp"
)

// batch gathers the changes of one With, so that each shard touched is copied once.
type batch struct {
	from  Catalog
	rev   int64
	state map[string]*state // by row key, of the rows touched
	errs  []error
}

// state is all that is known of one row key.
type state struct {
	good held    // highest revision that passed its check since the deletion; without value if there is none
	bad  refused // highest revision that failed it, if that is above good
	gone int64   // highest deletion
}

func newBatch(from Catalog) *batch {
	return &batch{from: from, rev: from.rev, state: make(map[string]*state)}
}

// of returns what is known of a key, to be changed in place.
func (b *batch) of(key string) *state {
	known, ok := b.state[key]
	if !ok {
		kind, name := Split(key)
		known = new(state)
		known.good, _ = b.from.good[kind].Get(name)
		known.bad, _ = b.from.refused.Get(key)
		known.gone, _ = b.from.gone.Get(key)
		b.state[key] = known
	}
	return known
}

// add takes in a row unless a revision at least as high is known.
// A lagging replica, an old snapshot or a slow peer may offer a row that was replaced or deleted since;
// were it applied, an accepted change would revert.
// A revision up to Complete cannot be news: every change up to there has been seen,
// so that an unknown row with such a revision was deleted since.
func (b *batch) add(row rows.Row) {
	known := b.of(row.Key)
	b.rev = max(b.rev, row.Rev)
	if row.Rev <= max(known.good.rev, known.gone, b.from.complete) {
		return
	}
	if row.Gone {
		known.gone = row.Rev
		known.good = held{}
		known.settle()
		return
	}
	if faults := Check(row.Key, row.Value); len(faults) > 0 {
		b.refuse(known, row, faults)
		return
	}
	known.good = held{value: string(stamp.Strip(row.Value)), rev: row.Rev} // the stamp is a third of a usual row
	known.gone = 0
	known.settle()
}

// settle forgets a rejected row that was replaced or deleted since.
func (s *state) settle() {
	if s.bad.row.Rev < max(s.good.rev, s.gone) {
		s.bad = refused{}
	}
}

// refuse keeps the last good row in force.
func (b *batch) refuse(known *state, row rows.Row, faults []fault.Fault) {
	if row.Rev <= known.bad.row.Rev {
		return
	}
	texts := make([]string, len(faults))
	for i, f := range faults {
		texts[i] = f.Error()
	}
	why := fault.NewFault(row.Key, "%s", strings.Join(texts, "; ")).WithRev(row.Rev)
	known.bad = refused{row: row, fault: why}
	b.errs = append(b.errs, why)
}

// finish returns the catalog with the changes.
func (b *batch) finish() Catalog {
	next := b.from
	next.rev = b.rev
	good := make(map[string]change[held])
	bad := newChange[refused]()
	gone := newChange[int64]()
	for key, now := range b.state {
		bad.put(key, now.bad, now.bad.row.Rev > 0)
		gone.put(key, now.gone, now.gone > 0)
		kind, name := Split(key)
		if _, ok := kinds[kind]; !ok {
			continue
		}
		if _, ok := good[kind]; !ok {
			good[kind] = newChange[held]()
		}
		good[kind].put(name, now.good, now.good.rev > 0)
	}
	next.refused = next.refused.With(bad.set, bad.drop()...)
	next.gone = next.gone.With(gone.set, gone.drop()...)
	next = next.index(good)
	next.good = maps.Clone(next.good)
	for kind, c := range good {
		next.good[kind] = next.good[kind].With(c.set, c.drop()...)
	}
	return next
}
