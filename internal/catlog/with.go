package catlog

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"damaskreach/internal/fault"
	"damaskreach/internal/rows"
)

// refused is a row that failed its check, kept so that a node which starts from a snapshot knows of it too.
type refused struct {
	row   rows.Row
	fault fault.Fault
}

// With returns a copy with the changed rows in force and a fault for each row newly rejected.
// Rows with a revision that is not above the one known of their key change nothing.
func (c Catalog) With(changed []rows.Row) (Catalog, []error) {
	return c.apply(changed, 0)
}

// WithTail is With for all changes after one revision up to another, as a reading of the tail gives them.
// Complete rises to upTo unless changes before after are missing.
func (c Catalog) WithTail(changed []rows.Row, after, upTo int64) (Catalog, []error) {
	next, errs := c.apply(changed, upTo)
	if after <= next.complete && upTo > next.complete {
		next.complete = upTo
		next = next.forget()
	}
	return next, errs
}

// WithWhole is With for all rows there were at a revision, as a listing or a snapshot gives them.
// Rows that are absent from it were deleted. An old listing deletes nothing and does not lower Complete.
func (c Catalog) WithWhole(all []rows.Row, rev int64) (Catalog, []error) {
	if rev < c.complete {
		return c.With(all)
	}
	present := make(map[string]bool, len(all))
	for _, row := range all {
		present[row.Key] = true
	}
	changed := slices.Clone(all)
	for _, row := range c.Rows() {
		if !present[row.Key] && row.Rev < rev {
			changed = append(changed, rows.Row{Key: row.Key, Rev: rev, Gone: true})
		}
	}
	return c.WithTail(changed, c.complete, rev)
}

// apply puts newer rows in force, oldest first, so that the last good one is known when a later one is rejected.
func (c Catalog) apply(changed []rows.Row, upTo int64) (Catalog, []error) {
	b := newBatch(c)
	for _, row := range slices.SortedStableFunc(slices.Values(changed), func(a, b rows.Row) int { return cmp.Compare(a.Rev, b.Rev) }) {
		b.add(row)
	}
	next := b.finish()
	next.rev = max(next.rev, upTo)
	return next, b.errs
}

// forget drops deletions that Complete covers: an older row of such a key is stale by its revision alone.
func (c Catalog) forget() Catalog {
	var covered []string
	for key, rev := range c.gone.All() {
		if rev <= c.complete {
			covered = append(covered, key)
		}
	}
	c.gone = c.gone.With(nil, covered...)
	return c
}

// Rejected returns a fault for each row that failed its check and was not replaced since, sorted by key,
// and one for each API key that more than one tenant claims.
func (c Catalog) Rejected() []fault.Fault {
	faults := make([]fault.Fault, 0, c.refused.Len())
	for _, key := range c.refused.Keys() {
		bad, _ := c.refused.Get(key)
		faults = append(faults, bad.fault)
	}
	return append(faults, c.disputed()...)
}

// Rows returns every row in force or rejected, sorted by key and revision, for a snapshot as of Complete or later.
func (c Catalog) Rows() []rows.Row {
	var all []rows.Row
	for _, kind := range slices.Sorted(maps.Keys(c.good)) {
		for name, row := range c.good[kind].All() {
			all = append(all, rows.Row{Key: Key(kind, name), Value: []byte(row.value), Rev: row.rev})
		}
	}
	for _, bad := range c.refused.All() {
		all = append(all, bad.row)
	}
	for key, rev := range c.gone.All() {
		all = append(all, rows.Row{Key: key, Rev: rev, Gone: true})
	}
	slices.SortFunc(all, func(a, b rows.Row) int {
		return cmp.Or(strings.Compare(a.Key, b.Key), cmp.Compare(a.Rev, b.Rev))
	})
	return all
}
