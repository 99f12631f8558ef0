package intake_test

import (
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/intake"
	"damaskreach/internal/rows"
)

// namedByValue takes a row's value for the version of the adapter that its key names.
func namedByValue(i *intake.Intake) {
	i.Version = func(row rows.Row) (string, int, bool, error) { return row.Key, int(row.Value[0]), true, nil }
}

// The store carries out a lost write late, and its row names an older version again. All hosts are killed then: those that start must go on with the newer
// one, which is known from the facts, or requests run on the older version for the rest of the day.
func TestVersionOfALateWriteIsNotTakenAfterAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string][]rows.Row{"op/": {{Key: "op/a", Value: []byte{4}, Rev: 1}}}}
		old := start(t, s, namedByValue)
		time.Sleep(3 * time.Second)
		if got := old.Overtaken(); len(got) != 0 {
			t.Errorf("Overtaken() = %v before the late write, want none", got)
		}
		s.update(func() { s.rows["op/"] = []rows.Row{{Key: "op/a", Value: []byte{3}, Rev: 2}} })
		time.Sleep(3 * time.Second)
		kept := old.Overtaken()
		if got, want := kept["op/a"], 4; got != want || len(kept) != 1 {
			t.Fatalf("Overtaken() = %v, want version %d of one adapter", kept, want)
		}
		next := start(t, s, namedByValue)
		next.LearnVersion("op/a", kept["op/a"])
		time.Sleep(3 * time.Second)
		if got, want := next.View().Versions["op/a"], 4; got != want {
			t.Errorf("version after the start = %d, want %d", got, want)
		}
		if got, want := next.Overtaken()["op/a"], 4; got != want {
			t.Errorf("Overtaken() after the start = %v, want version %d", next.Overtaken(), want)
		}
		s.update(func() { s.rows["op/"] = []rows.Row{{Key: "op/a", Value: []byte{5}, Rev: 3}} })
		time.Sleep(3 * time.Second)
		if got := next.Overtaken(); len(got) != 0 || next.View().Versions["op/a"] != 5 {
			t.Errorf("Overtaken() = %v and version %d after a newer one was named, want none and 5", got, next.View().Versions["op/a"])
		}
	})
}
