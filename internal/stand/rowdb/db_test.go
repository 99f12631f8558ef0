package rowdb_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/rows"
	"damaskreach/internal/stand/rowdb"
	"damaskreach/internal/table"
)

func row(key, value string, rev int64) rows.Row {
	return rows.Row{Key: key, Value: []byte(value), Rev: rev}
}

func mustWrite(t *testing.T, tab table.Table, edits ...rows.Row) int64 {
	t.Helper()
	rev, err := tab.Write(t.Context(), edits...)
	if err != nil {
		t.Fatalf("Write(%v) = %v, want nil", edits, err)
	}
	return rev
}

// show writes rows as key=value@rev, deletions as key-@rev.
func show(found []rows.Row) string {
	var parts []string
	for _, r := range found {
		text := "=" + string(r.Value)
		if r.Gone {
			text = "-"
		}
		parts = append(parts, r.Key+text+"@"+string(rune('0'+r.Rev)))
	}
	return strings.Join(parts, " ")
}

func wantTail(t *testing.T, tab table.Table, after int64, want string, wantErr error) {
	t.Helper()
	found, _, err := tab.Tail(t.Context(), "a/", after)
	if got := show(found); got != want || !errors.Is(err, wantErr) {
		t.Errorf("Tail(after %d) = %q, %v, want %q, %v", after, got, err, want, wantErr)
	}
}

// Two editors saw the same revision. Only the first write holds, and nothing of the second is applied,
// its edits of other keys included.
func TestWriteIsAllOrNothing(t *testing.T) {
	tab := rowdb.NewDB().Table()
	rev := mustWrite(t, tab, row("a/1", "x", 0))
	mustWrite(t, tab, row("a/1", "y", rev))
	_, err := tab.Write(t.Context(), row("a/2", "z", 0), row("a/1", "z", rev))
	if !errors.Is(err, table.ErrConflict) || !slices.Equal(table.Conflicts(err), []string{"a/1"}) {
		t.Errorf("Write = %v naming %q, want %v naming [a/1]", err, table.Conflicts(err), table.ErrConflict)
	}
	found, at, err := tab.List(t.Context(), "a/")
	if got, want := show(found), "a/1=y@2"; got != want || at != 2 || err != nil {
		t.Errorf("List = %q, %d, %v, want %q, 2, nil", got, at, err, want)
	}
}

// A hint is written along with a row that must not have changed. Whoever wrote the hint last must not fail the other one; a conflict of
// the other one fails both.
func TestEditOfAnyRevisionIsWrittenAlong(t *testing.T) {
	tab := rowdb.NewDB().Table()
	mustWrite(t, tab, row("a/hint", "x", 0), row("a/row", "x", 0))
	mustWrite(t, tab, row("a/hint", "y", 1))
	mustWrite(t, tab, row("a/hint", "z", rows.AnyRev), row("a/row", "y", 1))
	_, err := tab.Write(t.Context(), row("a/hint", "w", rows.AnyRev), row("a/row", "z", 1))
	if !errors.Is(err, table.ErrConflict) || !slices.Equal(table.Conflicts(err), []string{"a/row"}) {
		t.Errorf("Write = %v naming %q, want %v naming [a/row]", err, table.Conflicts(err), table.ErrConflict)
	}
	mustWrite(t, tab, rows.Row{Key: "a/none", Rev: rows.AnyRev, Gone: true}, rows.Row{Key: "a/hint", Rev: rows.AnyRev, Gone: true})
	found, _, err := tab.List(t.Context(), "a/")
	if got, want := show(found), "a/row=y@3"; got != want || err != nil {
		t.Errorf("List = %q, %v, want %q, nil", got, err, want)
	}
}

// A host's write holds as long as another row is what the host believes. That row must not change by it.
func TestEditThatStaysTheSameIsOnlyExpected(t *testing.T) {
	tab := rowdb.NewDB().Table()
	mustWrite(t, tab, row("a/1", "x", 0), row("a/2", "x", 0))
	if rev := mustWrite(t, tab, row("a/1", "y", 1), rows.Row{Key: "a/2", Rev: 1, CheckOnly: true}); rev != 2 {
		t.Errorf("revision = %d, want 2", rev)
	}
	_, err := tab.Write(t.Context(), row("a/1", "z", 2), rows.Row{Key: "a/2", Rev: 2, CheckOnly: true})
	if !errors.Is(err, table.ErrConflict) || !slices.Equal(table.Conflicts(err), []string{"a/2"}) {
		t.Errorf("Write = %v naming %q, want %v naming [a/2]", err, table.Conflicts(err), table.ErrConflict)
	}
	found, _, err := tab.List(t.Context(), "a/")
	if got, want := show(found), "a/1=y@2 a/2=x@1"; got != want || err != nil {
		t.Errorf("List = %q, %v, want %q, nil", got, err, want)
	}
}

func TestInvalidWritesAreRejected(t *testing.T) {
	tab := rowdb.NewDB().Table()
	for name, edits := range map[string][]rows.Row{
		"no key":            {row("", "x", 0)},
		"same key twice":    {row("a/1", "x", 0), row("a/1", "y", 0)},
		"negative revision": {row("a/1", "x", -1)},
		"large value":       {row("a/1", strings.Repeat("x", 2<<20), 0)},
	} {
		if _, err := tab.Write(t.Context(), edits...); !errors.Is(err, table.ErrInvalid) {
			t.Errorf("%s: Write = %v, want %v", name, err, table.ErrInvalid)
		}
	}
}

func TestTailShowsChangesAndDeletions(t *testing.T) {
	tab := rowdb.NewDB().Table()
	mustWrite(t, tab, row("a/1", "x", 0), row("a/2", "x", 0), row("b/1", "x", 0))
	mustWrite(t, tab, row("a/1", "y", 1))
	mustWrite(t, tab, rows.Row{Key: "a/2", Rev: 1}.WithGone())
	wantTail(t, tab, 0, "a/1=y@2 a/2-@3", nil)
	wantTail(t, tab, 2, "a/2-@3", nil)
	wantTail(t, tab, 3, "", nil)
	if _, err := tab.Read(t.Context(), "a/2"); !errors.Is(err, table.ErrAbsent) {
		t.Errorf("Read of a deleted row = %v, want %v", err, table.ErrAbsent)
	}
	mustWrite(t, tab, row("a/2", "z", 0))
	wantTail(t, tab, 3, "a/2=z@4", nil)
}

func TestTailAfterManyWritesOfOneRow(t *testing.T) {
	tab := rowdb.NewDB().Table()
	mustWrite(t, tab, row("a/1", "x", 0))
	rev := mustWrite(t, tab, row("a/2", "x", 0))
	for range 5000 {
		rev = mustWrite(t, tab, row("a/2", "y", rev))
	}
	for after, want := range map[int64]int{0: 2, 1: 1, 4000: 1, rev: 0} {
		found, _, err := tab.Tail(t.Context(), "a/", after)
		if len(found) != want || err != nil {
			t.Errorf("Tail(after %d) = %v, %v, want %d rows, nil", after, found, err, want)
		}
	}
}

// A follower was away for longer than the service remembers deletions. It must be told, or it would keep
// rows that no longer exist.
func TestTailBeyondTheHistorySaysSo(t *testing.T) {
	db := rowdb.NewDB()
	db.SetHistory(1)
	tab := db.Table()
	mustWrite(t, tab, row("a/1", "x", 0), row("a/2", "x", 0), row("a/3", "x", 0))
	mustWrite(t, tab, rows.Row{Key: "a/1", Rev: 1}.WithGone())
	mustWrite(t, tab, rows.Row{Key: "a/2", Rev: 1}.WithGone())
	wantTail(t, tab, 1, "a/3=x@1 a/2-@3", table.ErrCompacted)
	wantTail(t, tab, 2, "a/2-@3", nil)
}

// The service is down. Callers learn that nothing was written, and find that to be so afterwards.
func TestDown(t *testing.T) {
	db := rowdb.NewDB()
	tab := db.Table()
	db.SetDown(true)
	if _, err := tab.Write(t.Context(), row("a/1", "x", 0)); !errors.Is(err, table.ErrDown) {
		t.Errorf("Write = %v, want %v", err, table.ErrDown)
	}
	db.SetDown(false)
	wantTail(t, tab, 0, "", nil)
}

// An answer gets lost after its write took effect. The caller sees an error, and its retry a conflict
// with its own write.
func TestLostAnswers(t *testing.T) {
	db := rowdb.NewDB()
	tab := db.Table()
	db.LoseAnswers(1)
	if _, err := tab.Write(t.Context(), row("a/1", "x", 9)); !errors.Is(err, table.ErrConflict) {
		t.Errorf("a write without effect = %v, want %v", err, table.ErrConflict)
	}
	if _, err := tab.Write(t.Context(), row("a/1", "x", 0)); !errors.Is(err, table.ErrLost) {
		t.Errorf("Write = %v, want %v", err, table.ErrLost)
	}
	if _, err := tab.Write(t.Context(), row("a/1", "x", 0)); !errors.Is(err, table.ErrConflict) {
		t.Errorf("the retry = %v, want %v", err, table.ErrConflict)
	}
	wantTail(t, tab, 0, "a/1=x@1", nil)
}

// The service is slow and the caller gives up. Its write has no effect yet, and takes effect later:
// one who reads back too early draws the wrong conclusion.
func TestSlowWriteTakesEffectAfterItsCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		db := rowdb.NewDB()
		db.SetSlow(10 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := db.Table().Write(ctx, row("a/1", "x", 0))
		if !errors.Is(err, table.ErrLost) || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Write = %v, want %v caused by %v", err, table.ErrLost, context.DeadlineExceeded)
		}
		if got := db.Rev(); got != 0 {
			t.Errorf("revision after a second = %d, want 0", got)
		}
		time.Sleep(5 * time.Second)
		if got := db.Rev(); got != 1 {
			t.Errorf("revision after six seconds = %d, want 1", got)
		}
	})
}

// The service goes down while a write waits in line. Its caller cannot tell, and the write has no effect.
func TestDownWhileInLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		db := rowdb.NewDB()
		db.SetSlow(10 * time.Second)
		time.AfterFunc(time.Second, func() { db.SetDown(true) })
		time.AfterFunc(6*time.Second, func() { db.SetDown(false) })
		_, err := db.Table().Write(t.Context(), row("a/1", "x", 0))
		if !errors.Is(err, table.ErrLost) || db.Rev() != 0 {
			t.Errorf("Write = %v at revision %d, want %v at revision 0", err, db.Rev(), table.ErrLost)
		}
	})
}

func TestValuesAreNotShared(t *testing.T) {
	tab := rowdb.NewDB().Table()
	value := []byte("x")
	mustWrite(t, tab, rows.Row{Key: "a/1", Value: value})
	value[0] = 'y'
	read, _ := tab.Read(t.Context(), "a/1")
	read.Value[0] = 'z'
	wantTail(t, tab, 0, "a/1=x@1", nil)
}

// A replica is behind, and every second reading goes there. A reader sees rows and revisions go back
// to what they were a while ago.
func TestLaggingReplicaAnswersWithOlderState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		db := rowdb.NewDB()
		tab := db.Table()
		mustWrite(t, tab, row("a/1", "x", 0))
		time.Sleep(10 * time.Second)
		mustWrite(t, tab, row("a/1", "y", 1), row("a/2", "y", 0))
		db.SetLag(5*time.Second, 2)
		wantTail(t, tab, 0, "a/1=y@2 a/2=y@2", nil)
		wantTail(t, tab, 0, "a/1=x@1", nil)
		wantTail(t, tab, 1, "a/1=y@2 a/2=y@2", nil)
		if _, err := tab.Read(t.Context(), "a/2"); !errors.Is(err, table.ErrAbsent) {
			t.Errorf("Read at the replica = %v, want %v", err, table.ErrAbsent)
		}
		time.Sleep(5 * time.Second)
		wantTail(t, tab, 0, "a/1=y@2 a/2=y@2", nil)
		wantTail(t, tab, 0, "a/1=y@2 a/2=y@2", nil)
	})
}

// One client is cut off from the service while others go on.
func TestCutClient(t *testing.T) {
	db := rowdb.NewDB()
	db.CutClient("one", true)
	if _, err := db.TableFor("one").Write(t.Context(), row("a/1", "x", 0)); !errors.Is(err, table.ErrDown) {
		t.Errorf("Write of the cut client = %v, want %v", err, table.ErrDown)
	}
	mustWrite(t, db.TableFor("two"), row("a/1", "x", 0))
	db.CutClient("one", false)
	wantTail(t, db.TableFor("one"), 0, "a/1=x@1", nil)
}

// A client is cut off between its write and the answer to it.
func TestCutLosesAnswersUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		db := rowdb.NewDB()
		db.SetSlow(2 * time.Second)
		time.AfterFunc(1500*time.Millisecond, func() { db.CutClient("one", true) })
		_, err := db.TableFor("one").Write(t.Context(), row("a/1", "x", 0))
		if !errors.Is(err, table.ErrLost) || db.Rev() != 1 {
			t.Errorf("Write = %v at revision %d, want %v at revision 1", err, db.Rev(), table.ErrLost)
		}
	})
}

func TestRatesMakeCallsWaitInLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		db := rowdb.NewDB()
		db.SetRates(100, 1000)
		tab := db.Table()
		start := time.Now()
		for i := range 51 {
			mustWrite(t, tab, row("a/1", "x", int64(i)))
		}
		if got, want := time.Since(start), 500*time.Millisecond; got != want {
			t.Errorf("51 writes at 100 a second took %v, want %v", got, want)
		}
	})
}

func TestCountsByPrefix(t *testing.T) {
	db := rowdb.NewDB()
	tab := db.Table()
	mustWrite(t, tab, row("a/1", "xyz", 0), row("b/1", "xyz", 0))
	tab.Read(t.Context(), "a/1")
	if reads, writes, bytes := db.Count("a/"); reads != 1 || writes != 1 || bytes != 12 {
		t.Errorf("Count(a/) = %d, %d, %d, want 1, 1, 12", reads, writes, bytes)
	}
	if reads, writes, bytes := db.Count(""); reads != 1 || writes != 2 || bytes != 18 {
		t.Errorf("Count() = %d, %d, %d, want 1, 2, 18", reads, writes, bytes)
	}
}
