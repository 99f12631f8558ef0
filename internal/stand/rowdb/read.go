package rowdb

import (
	"cmp"
	"slices"
	"sort"
	"strings"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/rows"
	"damaskreach/internal/table"
)

// segment returns the first path segment of a key with its slash, or all of a key that has none.
func segment(key string) string {
	if i := strings.IndexByte(key, '/'); i >= 0 {
		return key[:i+1]
	}
	return key
}

// listing is what List and Tail answer.
type listing struct {
	rows []rows.Row
	rev  int64
}

func (d *DB) read(key string) (rows.Row, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rev := d.visible()
	rec := d.record(key)
	if rec == nil {
		d.countRead(segment(key), nil)
		return rows.Row{}, merry.Appendf(table.ErrAbsent, "%q", key)
	}
	row, ok := rec.as(rev)
	if !ok || row.Gone {
		d.countRead(segment(key), nil)
		return rows.Row{}, merry.Appendf(table.ErrAbsent, "%q", key)
	}
	d.countRead(segment(key), []rows.Row{row})
	return d.shown(row), nil
}

func (d *DB) list(prefix string) (listing, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rev := d.visible()
	found := d.scan(prefix, rev, func(r rows.Row) bool { return !r.Gone })
	slices.SortFunc(found, func(a, b rows.Row) int { return strings.Compare(a.Key, b.Key) })
	d.countRead(segment(prefix), found)
	return listing{found, rows.NewRev(d.era, rev)}, nil
}

// tail returns the present state of each row changed after a revision, oldest change first.
// Where deletions after that revision have been forgotten it returns table.ErrCompacted beside all rows.
func (d *DB) tail(prefix string, after int64) (listing, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rev := d.visible()
	var err error
	after, ok := d.number(after)
	if !ok {
		after = 0
		err = merry.Appendf(table.ErrCompacted, "history of another era than %d", d.era)
	} else if after < d.lost {
		after = 0
		err = merry.Appendf(table.ErrCompacted, "history starts after revision %d", d.lost)
	}
	var found []rows.Row
	if rev == d.rev {
		found = d.recent(prefix, after)
	} else {
		found = d.scan(prefix, rev, func(r rows.Row) bool { return r.Rev > after })
		slices.SortFunc(found, func(a, b rows.Row) int {
			return cmp.Or(cmp.Compare(a.Rev, b.Rev), strings.Compare(a.Key, b.Key))
		})
	}
	d.countRead(segment(prefix), found)
	return listing{found, rows.NewRev(d.era, rev)}, err
}

// recent walks the log; it costs as much as there are changes, where scan costs as much as there are rows.
func (d *DB) recent(prefix string, after int64) []rows.Row {
	start := sort.Search(len(d.log), func(i int) bool { return d.log[i].rev > after })
	var found []rows.Row
	for _, c := range d.log[start:] {
		if strings.HasPrefix(c.key, prefix) && d.present(c) {
			found = append(found, d.shown(d.record(c.key).now()))
		}
	}
	return found
}

// scan returns the rows under prefix as they were at rev, in no order. What keep sees is numbered without the era.
func (d *DB) scan(prefix string, rev int64, keep func(rows.Row) bool) []rows.Row {
	var found []rows.Row
	for name, bucket := range d.keys {
		if !strings.HasPrefix(name, prefix) && !strings.HasPrefix(prefix, name) {
			continue
		}
		for key, rec := range bucket {
			if !strings.HasPrefix(key, prefix) {
				continue
			}
			if row, ok := rec.as(rev); ok && keep(row) {
				found = append(found, d.shown(row))
			}
		}
	}
	return found
}
