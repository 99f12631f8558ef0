package rowdb

import (
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/rows"
	"damaskreach/internal/table"
)

const (
	mostEdits = 4096    // edits in one transaction
	mostValue = 1 << 20 // bytes in one value
	slackLog  = 1024    // superseded log entries that are tolerated
)

// commit applies all edits or none and returns the new revision.
// An edit that deletes at revision 0 only demands that the key does not exist, and one that is to stay the Same that it has its revision.
func (d *DB) commit(edits []rows.Row) (int64, error) {
	if err := check(edits); err != nil {
		return 0, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.countWrite(edits)
	if keys := d.conflicts(edits); len(keys) > 0 {
		return 0, table.NewConflict(keys)
	}
	edits = slices.DeleteFunc(slices.Clone(edits), func(e rows.Row) bool { return e.CheckOnly || e.Gone && e.Rev == 0 })
	if len(edits) == 0 {
		return rows.NewRev(d.era, d.rev), nil
	}
	d.rev++
	now := time.Now()
	d.times = append(d.times, commit{d.rev, now})
	for _, edit := range edits {
		d.apply(edit, now)
	}
	d.trim(now)
	return rows.NewRev(d.era, d.rev), nil
}

func check(edits []rows.Row) error {
	if len(edits) > mostEdits {
		return merry.Appendf(table.ErrInvalid, "%d edits, at most %d are taken", len(edits), mostEdits)
	}
	seen := make(map[string]bool, len(edits))
	for _, e := range edits {
		switch {
		case e.Key == "":
			return merry.Append(table.ErrInvalid, "an edit has no key")
		case seen[e.Key]:
			return merry.Appendf(table.ErrInvalid, "key %q is edited twice", e.Key)
		case e.Rev < 0 && e.Rev != rows.AnyRev:
			return merry.Appendf(table.ErrInvalid, "key %q has the revision %d", e.Key, e.Rev)
		case len(e.Value) > mostValue:
			return merry.Appendf(table.ErrInvalid, "key %q has %d bytes, at most %d are taken", e.Key, len(e.Value), mostValue)
		}
		seen[e.Key] = true
	}
	return nil
}

func (d *DB) conflicts(edits []rows.Row) []string {
	var keys []string
	for _, e := range edits {
		var rev int64
		if rec := d.record(e.Key); rec != nil && !rec.now().Gone {
			rev = rec.now().Rev
		}
		if want, ok := d.number(e.Rev); e.Rev != rows.AnyRev && (!ok || rev != want) {
			keys = append(keys, e.Key)
		}
	}
	return keys
}

func (d *DB) apply(edit rows.Row, now time.Time) {
	row := rows.Row{Key: edit.Key, Rev: d.rev, Gone: edit.Gone}
	if !edit.Gone {
		row.Value = slices.Clone(edit.Value)
	}
	bucket := d.keys[segment(edit.Key)]
	if bucket == nil {
		bucket = map[string]*record{}
		d.keys[segment(edit.Key)] = bucket
	}
	rec := bucket[edit.Key]
	if rec == nil {
		rec = &record{}
		bucket[edit.Key] = rec
	}
	rec.states = append(rec.states, state{row, now})
	for len(rec.states) > 1 && now.Sub(rec.states[1].at) > replicaHorizon {
		rec.states = rec.states[1:]
	}
	d.log = append(d.log, change{edit.Key, d.rev})
	if row.Gone {
		d.graves = append(d.graves, change{edit.Key, d.rev})
	}
}

// trim bounds what is kept beside the rows themselves.
func (d *DB) trim(now time.Time) {
	d.forget()
	for len(d.times) > 1 && now.Sub(d.times[1].at) > replicaHorizon {
		d.times = d.times[1:]
	}
	records := 0
	for _, bucket := range d.keys {
		records += len(bucket)
	}
	if len(d.log) > 2*records+slackLog {
		d.log = slices.DeleteFunc(d.log, func(c change) bool { return !d.present(c) })
	}
}

// present reports whether a change is still the newest of its key.
func (d *DB) present(c change) bool {
	rec := d.record(c.key)
	return rec != nil && rec.now().Rev == c.rev
}

// forget drops the oldest deletions beyond the bound.
func (d *DB) forget() {
	for len(d.graves) > d.most {
		old := d.graves[0]
		d.graves = d.graves[1:]
		if d.present(old) {
			delete(d.keys[segment(old.key)], old.key)
			d.lost = old.rev
		}
	}
}
