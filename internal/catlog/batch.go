package catlog

import (
	"maps"
	"slices"
	"strings"

	"damaskreach/internal/fault"
	"damaskreach/internal/rows"
	"damaskreach/internal/stamp"
)

// batch gathers the changes of one With, so that each shard touched is copied once.
type batch struct {
	from    Catalog
	rev     int64
	seen    map[string]int64
	good    map[string]map[string]held // by kind and name; an empty value marks a deletion
	refused map[string]refused
	cleared map[string]bool // keys whose rejected row was replaced
	gone    map[string]int64
	errs    []error
}

func newBatch(from Catalog) *batch {
	return &batch{
		from:    from,
		rev:     from.rev,
		seen:    make(map[string]int64),
		good:    make(map[string]map[string]held),
		refused: make(map[string]refused),
		cleared: make(map[string]bool),
		gone:    make(map[string]int64),
	}
}

// add takes in a row unless a revision at least as high is known.
// A lagging replica, an old snapshot or a slow peer may offer a row that was replaced or deleted since;
// were it applied, an accepted change would revert.
func (b *batch) add(row rows.Row) {
	if row.Rev <= max(b.seen[row.Key], b.from.seen(row.Key)) {
		return
	}
	b.seen[row.Key] = row.Rev
	b.rev = max(b.rev, row.Rev)
	delete(b.refused, row.Key)
	delete(b.gone, row.Key)
	b.cleared[row.Key] = true
	if row.Gone {
		b.gone[row.Key] = row.Rev
		b.set(row.Key, held{rev: row.Rev})
		return
	}
	if faults := Check(row.Key, row.Value); len(faults) > 0 {
		b.refuse(row, faults)
		return
	}
	b.set(row.Key, held{value: string(stamp.Strip(row.Value)), rev: row.Rev}) // the stamp is a third of a usual row
}

func (b *batch) set(key string, value held) {
	kind, name := Split(key)
	if _, ok := kinds[kind]; !ok {
		return
	}
	if b.good[kind] == nil {
		b.good[kind] = make(map[string]held)
	}
	b.good[kind][name] = value
}

// refuse keeps the last good row in force.
func (b *batch) refuse(row rows.Row, faults []fault.Fault) {
	texts := make([]string, len(faults))
	for i, f := range faults {
		texts[i] = f.Error()
	}
	why := fault.NewFault(row.Key, "%s", strings.Join(texts, "; ")).WithRev(row.Rev)
	b.refused[row.Key] = refused{row: row, fault: why}
	b.errs = append(b.errs, why)
}

// finish returns the catalog with the changes.
func (b *batch) finish() Catalog {
	next := b.from
	next.rev = b.rev
	next.refused = next.refused.With(b.refused, b.stale(b.refused)...)
	next.gone = next.gone.With(b.gone, slices.Sorted(maps.Keys(without(b.cleared, b.gone)))...)
	next = b.index(next)
	next.good = maps.Clone(next.good)
	for kind, changes := range b.good {
		set, drop := parted(changes)
		next.good[kind] = next.good[kind].With(set, drop...)
	}
	return next
}

// stale returns the keys whose rejected row was replaced by a row that is not rejected.
func (b *batch) stale(now map[string]refused) []string {
	return slices.Sorted(maps.Keys(without(b.cleared, now)))
}

func without[V any](keys map[string]bool, present map[string]V) map[string]bool {
	rest := make(map[string]bool)
	for key := range keys {
		if _, ok := present[key]; !ok {
			rest[key] = true
		}
	}
	return rest
}

func parted(changes map[string]held) (set map[string]held, drop []string) {
	set = make(map[string]held, len(changes))
	for name, row := range changes {
		if row.value == "" {
			drop = append(drop, name)
			continue
		}
		set[name] = row
	}
	return set, drop
}
