package opctl_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/opctl"
	"damaskreach/internal/rows"
	"damaskreach/internal/stamp"
)

const (
	racers = 8
	shared = 40 // adapters that all of them edit in part
)

// Eight operators edit overlapping rows and apply at the same moment, while answers get lost.
// Every edit must end up in the table under its author's name, or its author must be told who was first:
// an edit that is neither would be lost without anyone noticing.
func TestRaceOfEightOperators(t *testing.T) {
	for _, lost := range []int{0, 3, 8} {
		synctest.Test(t, func(t *testing.T) { race(t, lost) })
	}
}

func race(t *testing.T, lost int) {
	db, kim := start(t)
	var sheet strings.Builder
	sheet.WriteString("name,tenant,group,versions\n")
	for i := range shared {
		fmt.Fprintf(&sheet, "x%02d,roads,assist,v0:1\n", i)
	}
	kim.put(t, map[string]string{"adapters.csv": sheet.String()})
	kim.must(t, "apply", kim.dir)

	operators := make([]operator, racers)
	for i := range operators {
		operators[i] = newOperator(t, fmt.Sprint("op", i), db)
		operators[i].must(t, "get", operators[i].dir)
		for n := range shared {
			if edits(i, n) {
				operators[i].replace(t, "adapters.csv", fmt.Sprintf("x%02d,roads,assist,v0:1", n), fmt.Sprintf("x%02d,roads,assist,v%d:1", n, i+1))
			}
		}
	}
	db.SetSlow(20 * time.Millisecond) // all have read the table before the first one writes
	db.LoseAnswers(lost)
	texts := make([]string, racers)
	codes := make([]int, racers)
	var group sync.WaitGroup
	for i, o := range operators {
		group.Go(func() { texts[i], codes[i] = o.run(t, "apply", o.dir) })
	}
	group.Wait()
	accepted := 0
	for n := range shared {
		now, err := db.Table().Read(t.Context(), fmt.Sprintf("conf/adapter/x%02d", n))
		if err != nil {
			t.Fatal(err)
		}
		accepted += settled(t, now, n, texts)
	}
	for i, code := range codes {
		if told := strings.Contains(texts[i], "not applied"); told != (code == opctl.ExitFault) {
			t.Errorf("op%d: exit %d and told of refused edits %v:\n%s", i, code, told, texts[i])
		}
	}
	if accepted != shared {
		t.Errorf("rows with an accepted edit = %d, want %d", accepted, shared)
	}
}

// edits reports whether an operator edits a row: each row is edited by four of them.
func edits(operator, row int) bool {
	return (operator+row)%2 == 0
}

// settled checks that a row holds the edit of one operator and that each other one who edited it was told.
func settled(t *testing.T, now rows.Row, n int, texts []string) int {
	t.Helper()
	by := stamp.Of(now.Value).By
	accepted := 0
	for i, text := range texts {
		if !edits(i, n) {
			continue
		}
		if by == fmt.Sprint("op", i) {
			accepted++
			if refusal := fmt.Sprintf("adapter/x%02d: not applied", n); strings.Contains(text, refusal) {
				t.Errorf("op%d was told %q of an edit that the table holds", i, refusal)
			}
			continue
		}
		want := fmt.Sprintf("adapter/x%02d: not applied: %s changed it at revision %d before you", n, by, now.Rev)
		if !strings.Contains(text, want) {
			t.Errorf("op%d says\n%s\nwant %q in it", i, text, want)
		}
	}
	return accepted
}
