package rowdb_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/rows"
	"damaskreach/internal/stand/rowdb"
	"damaskreach/internal/table"
)

// The table comes back from a copy 5 s old: rows written since are gone, changed and deleted ones are as they were, and revisions of before hold
// nowhere, though their numbers are given out again.
func TestTableComesBackFromACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		db := rowdb.NewDB()
		tab := db.Table()
		write := func(edits ...rows.Row) int64 {
			t.Helper()
			rev, err := tab.Write(t.Context(), edits...)
			if err != nil {
				t.Fatalf("Write(%v) = %v, want nil", edits, err)
			}
			return rev
		}
		kept := write(rows.Row{Key: "a/changed", Value: []byte("old")}, rows.Row{Key: "a/dropped"})
		time.Sleep(10 * time.Second)
		lost := write(rows.Row{Key: "a/changed", Value: []byte("new"), Rev: kept}, rows.Row{Key: "a/added"}, rows.Row{Key: "a/dropped", Rev: kept, Gone: true})
		time.Sleep(time.Second)
		db.ComeBack(5 * time.Second)

		found, rev, err := tab.Tail(t.Context(), "a/", lost)
		if !errors.Is(err, table.ErrCompacted) {
			t.Errorf("Tail from a lost revision = %v, want ErrCompacted", err)
		}
		if want := rows.NewRev(1, kept); rev != want {
			t.Errorf("revision = %d, want %d", rev, want)
		}
		if len(found) != 2 || string(found[0].Value) != "old" || found[1].Key != "a/dropped" || found[0].Rev != rows.NewRev(1, kept) {
			t.Errorf("rows = %v, want a/changed with its old value and a/dropped, at %d", found, rows.NewRev(1, kept))
		}
		if _, err = tab.Write(t.Context(), rows.Row{Key: "a/changed", Rev: kept}); !errors.Is(err, table.ErrConflict) {
			t.Errorf("Write with a revision of the era before = %v, want ErrConflict", err)
		}
		again := write(rows.Row{Key: "a/changed", Rev: rows.NewRev(1, kept)})
		if want := rows.NewRev(1, lost); again != want {
			t.Errorf("revision of the next write = %d, want %d: the lost number again", again, want)
		}
		if _, _, err = tab.Tail(t.Context(), "a/", rev); err != nil {
			t.Errorf("Tail within the era = %v, want nil", err)
		}
	})
}
