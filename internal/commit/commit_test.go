package commit_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/commit"
	"damaskreach/internal/rows"
	"damaskreach/internal/stamp"
	"damaskreach/internal/stand/rowdb"
	"damaskreach/internal/table"
)

const key = "conf/adapter/a"

// site is a table with one row, at revision 1, written by edit "first".
type site struct {
	db    *rowdb.DB
	table table.Table
}

func run(t *testing.T, test func(t *testing.T, s site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		db := rowdb.NewDB()
		s := site{db, db.Table()}
		s.write(t, "first", 0)
		test(t, s)
	})
}

func edit(id string, over int64) rows.Row {
	mark := stamp.Stamp{By: id, Edit: id, Over: over}
	return rows.Row{Key: key, Rev: over, Value: mark.Add(fmt.Appendf(nil, `{"name":"a","n":%q}`, id))}
}

// after is an edit that knows which edit it replaces.
func after(id string, over int64, before string) rows.Row {
	e := edit(id, over)
	mark := stamp.Of(e.Value)
	mark.After = before
	return e.WithValue(mark.Add(stamp.Strip(e.Value)))
}

func (s site) write(t *testing.T, id string, over int64) {
	t.Helper()
	if _, err := s.table.Write(t.Context(), edit(id, over)); err != nil {
		t.Errorf("writing %s = %v, want nil", id, err)
	}
}

func (s site) commit(t *testing.T, within time.Duration, edits ...rows.Row) []commit.Outcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	return commit.Write(ctx, s.db.TableFor("me"), "mine", edits)
}

func want(t *testing.T, got []commit.Outcome, states ...string) {
	t.Helper()
	for i, state := range states {
		if len(got) != len(states) || got[i].State != state {
			t.Errorf("outcomes = %+v, want %q", got, states)
			return
		}
	}
}

// The write took effect, and its answer was lost. An operator who repeats it meets a conflict with the own edit;
// it must be reported as applied, with its revision.
func TestLostAnswerIsSettledAsApplied(t *testing.T) {
	run(t, func(t *testing.T, s site) {
		s.db.LoseAnswers(1)
		got := s.commit(t, time.Minute, edit("mine", 1), rows.Row{Key: "conf/tenant/x", Value: edit("mine", 0).Value})
		want(t, got, commit.Applied, commit.Applied)
		if got[0].Rev != 2 || s.db.Rev() != 2 {
			t.Errorf("revision = %d, table at %d, want 2 and 2", got[0].Rev, s.db.Rev())
		}
	})
}

// The answer was lost, and a replica that lags shows the row as it was before.
// Taken at its word, the replica would make an applied edit look refused.
func TestLaggingReplicaDoesNotSettleAnything(t *testing.T) {
	run(t, func(t *testing.T, s site) {
		time.Sleep(time.Minute)
		s.db.SetLag(5*time.Second, 1)
		s.db.LoseAnswers(1)
		want(t, s.commit(t, time.Minute, edit("mine", 1)), commit.Applied)
		want(t, s.commit(t, time.Minute, rows.Row{Key: key, Rev: 1, Gone: true}), commit.Lost)
	})
}

// Another operator's edit of the same row came first, and the answer that would say so was lost.
// The edit must not be taken for applied, and the operator must hear who was first.
func TestLostAnswerIsSettledAsLost(t *testing.T) {
	run(t, func(t *testing.T, s site) {
		s.db.SetSlow(time.Second)
		other := time.AfterFunc(0, func() { s.write(t, "other", 1) })
		defer other.Stop()
		time.Sleep(time.Millisecond)
		time.AfterFunc(800*time.Millisecond, func() { s.db.CutClient("me", true) })
		time.AfterFunc(3*time.Second, func() { s.db.CutClient("me", false) })
		got := s.commit(t, time.Minute, edit("mine", 1))
		want(t, got, commit.Lost)
		if by := stamp.Of(got[0].Now.Value).By; by != "other" {
			t.Errorf("winner = %q, want other", by)
		}
	})
}

// The write took effect, its answer was lost, and before the operator's tool could look another operator,
// who had seen the new row, changed it again. The edit was accepted and must not be reported as refused.
func TestLostAnswerOfAnEditThatWasReplacedSince(t *testing.T) {
	run(t, func(t *testing.T, s site) {
		s.db.LoseAnswers(1)
		time.AfterFunc(time.Millisecond, func() {
			if _, err := s.table.Write(context.Background(), after("other", 2, "mine")); err != nil {
				t.Errorf("the other's write = %v, want nil", err)
			}
		})
		want(t, s.commit(t, time.Minute, edit("mine", 1)), commit.Applied)
	})
}

// The same, but two more edits followed, so that nothing names this one any more.
// Neither answer would be certain, and the tool must say so.
func TestLostAnswerWithLaterEditsIsUnknown(t *testing.T) {
	run(t, func(t *testing.T, s site) {
		s.db.LoseAnswers(1)
		time.AfterFunc(time.Millisecond, func() {
			s.write(t, "other", 2)
			s.write(t, "third", 3)
		})
		want(t, s.commit(t, time.Minute, edit("mine", 1)), commit.Unknown)
	})
}

// One row of a batch was changed by someone else. The others must be written all the same, and the one named.
func TestConflictTakesOneRowOut(t *testing.T) {
	run(t, func(t *testing.T, s site) {
		s.write(t, "other", 1)
		got := s.commit(t, time.Minute, rows.Row{Key: "conf/tenant/x", Value: edit("mine", 0).Value}, edit("mine", 1))
		want(t, got, commit.Lost, commit.Applied)
	})
}

// The table goes down for good. An operator must hear that nothing was written where that is certain,
// and that it is unknown where the first try may have arrived.
func TestTableDown(t *testing.T) {
	run(t, func(t *testing.T, s site) {
		s.db.SetDown(true)
		many := make([]rows.Row, commit.Size+1)
		for i := range many {
			many[i] = rows.Row{Key: fmt.Sprint("conf/tenant/", i), Value: []byte("{}")}
		}
		got := s.commit(t, time.Minute, many...)
		if first, last := got[0].State, got[commit.Size].State; first != commit.Failed || last != commit.NotTried {
			t.Errorf("states = %s and %s, want %s and %s", first, last, commit.Failed, commit.NotTried)
		}
		s.db.SetDown(false)
		s.db.LoseAnswers(1)
		time.AfterFunc(50*time.Millisecond, func() { s.db.SetDown(true) })
		want(t, s.commit(t, time.Minute, edit("mine", 1)), commit.Unknown)
	})
}
