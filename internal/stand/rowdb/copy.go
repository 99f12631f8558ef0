package rowdb

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"damaskreach/internal/rows"
)

// ComeBack has the table come back from a copy of some time ago, at most two minutes: what was written since is gone, a new era begins, and the
// numbers of the lost transactions are given out again.
func (d *DB) ComeBack(age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	edge := time.Now().Add(-age)
	for _, bucket := range d.keys {
		for key, rec := range bucket {
			rec.states = slices.DeleteFunc(rec.states, func(s state) bool { return s.at.After(edge) })
			if len(rec.states) == 0 {
				delete(bucket, key)
			}
		}
	}
	d.times = slices.DeleteFunc(d.times, func(c commit) bool { return c.at.After(edge) })
	d.graves = slices.DeleteFunc(d.graves, func(c change) bool { return !d.present(c) })
	d.era++
	d.rev = 0
	if len(d.times) > 0 {
		d.rev = d.times[len(d.times)-1].rev
	}
	d.relog()
}

// relog makes the log and the newest revision anew from the rows.
func (d *DB) relog() {
	d.log = nil
	for _, bucket := range d.keys {
		for key, rec := range bucket {
			d.log = append(d.log, change{key, rec.now().Rev})
			d.rev = max(d.rev, rec.now().Rev)
		}
	}
	slices.SortFunc(d.log, func(a, b change) int { return cmp.Or(cmp.Compare(a.rev, b.rev), strings.Compare(a.key, b.key)) })
}

// number returns the transaction that a caller's revision stands for; ok is false for one of another era, which this table doesn't have.
func (d *DB) number(rev int64) (number int64, ok bool) {
	if rev == 0 || rev == rows.AnyRev {
		return rev, true
	}
	era, number := rows.Era(rev)
	return number, era == d.era
}

// shown returns a row as callers see it, with a revision of this era.
func (d *DB) shown(row rows.Row) rows.Row {
	row = row.WithValue(slices.Clone(row.Value))
	row.Rev = rows.NewRev(d.era, row.Rev)
	return row
}
