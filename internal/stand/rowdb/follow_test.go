package rowdb_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"damaskreach/internal/rows"
	"damaskreach/internal/stand/rowdb"
	"damaskreach/internal/table"
)

// model is a table in the plainest form, and a follower of the service's tail.
type model struct {
	db       *rowdb.DB
	table    table.Table
	rows     map[string]rows.Row
	rev      int64
	followed map[string]rows.Row
	seen     int64
}

// Editors race each other with revisions right and wrong, and a follower reads the tail now and then, at times
// from beyond the history. Whatever the order, the service and its follower hold what the plain table holds.
func TestFollowersHoldWhatTheTableHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{db: rowdb.NewDB(), rows: map[string]rows.Row{}, followed: map[string]rows.Row{}}
		m.table = m.db.Table()
		m.db.SetHistory(2)
		t.Repeat(map[string]func(*rapid.T){"write": m.write, "follow": m.follow, "": m.check})
	})
}

func (m *model) write(t *rapid.T) {
	var edits []rows.Row
	conflict := false
	for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 1, 3, rapid.ID).Draw(t, "keys") {
		key := fmt.Sprintf("a/%d", n)
		edit := rows.Row{Key: key, Rev: m.rows[key].Rev, Value: []byte{byte(m.rev)}}
		if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
			edit.Rev++
			conflict = true
		}
		if rapid.Bool().Draw(t, "gone") {
			edit = edit.WithGone()
		}
		edits = append(edits, edit)
	}
	rev, err := m.table.Write(t.Context(), edits...)
	if got, want := errors.Is(err, table.ErrConflict), conflict; got != want {
		t.Fatalf("Write(%v) = %v, want a conflict: %v", edits, err, want)
	}
	if err == nil {
		m.apply(edits)
	}
	if err == nil && rev != m.rev {
		t.Fatalf("Write(%v) = %d, want %d", edits, rev, m.rev)
	}
}

func (m *model) apply(edits []rows.Row) {
	edits = slices.DeleteFunc(edits, func(e rows.Row) bool { return e.Gone && e.Rev == 0 })
	if len(edits) > 0 {
		m.rev++
	}
	for _, e := range edits {
		e.Rev = m.rev
		m.rows[e.Key] = e
		if e.Gone {
			delete(m.rows, e.Key)
		}
	}
}

func (m *model) follow(t *rapid.T) {
	changed, rev, err := m.table.Tail(t.Context(), "a/", m.seen)
	if errors.Is(err, table.ErrCompacted) {
		clear(m.followed)
	} else if err != nil {
		t.Fatalf("Tail = %v, want nil", err)
	}
	last := int64(0)
	for _, row := range changed {
		if row.Rev < last {
			t.Errorf("Tail has revision %d after %d, want the oldest first", row.Rev, last)
		}
		last = row.Rev
		m.followed[row.Key] = row
		if row.Gone {
			delete(m.followed, row.Key)
		}
	}
	m.seen = rev
	wantSame(t, "the follower holds", slices.Collect(maps.Values(m.followed)), m.rows)
}

func (m *model) check(t *rapid.T) {
	found, rev, err := m.table.List(t.Context(), "a/")
	if err != nil || rev != m.rev {
		t.Fatalf("List = %d, %v, want %d, nil", rev, err, m.rev)
	}
	wantSame(t, "List returns", found, m.rows)
}

func wantSame(t *rapid.T, what string, got []rows.Row, want map[string]rows.Row) {
	byKey := map[string]rows.Row{}
	for _, row := range got {
		byKey[row.Key] = row
	}
	same := func(a, b rows.Row) bool { return a.Rev == b.Rev && string(a.Value) == string(b.Value) }
	if !maps.EqualFunc(byKey, want, same) {
		t.Fatalf("%s %v, want %v", what, byKey, want)
	}
}
