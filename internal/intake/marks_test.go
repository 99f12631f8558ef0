package intake_test

import (
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/intake"
	"damaskreach/internal/rows"
)

// Guards against hosts that wait at the store for a change they have, because another host read it in an answer of a later revision.
func TestMarkIsRevisionOfChangeNotOfAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const changed, sooner, later = 50, 60, 70 // revisions: of the row, and of the answers that bring it
		begin := func(rev int64) *intake.Intake {
			return start(t, &fakeStore{rev: rev - 1, rows: map[string][]rows.Row{
				"op/": {{Key: "op/config", Value: []byte{1}, Rev: changed}},
				"up/": {{Key: "up/a", Value: []byte("ok"), Rev: changed}},
			}})
		}
		first, second := begin(sooner), begin(later)
		time.Sleep(500 * time.Millisecond) // the first answers have arrived, the next calls wait for a change
		marks, ok := second.Marks()
		if !ok || marks.Conf != changed {
			t.Errorf("latest change of the operators' rows = %d, reads for others = %v, want %d, true", marks.Conf, ok, changed)
		}
		if marks.Targets != changed {
			t.Errorf("latest change of the upstreams = %d, want %d", marks.Targets, changed)
		}
		if !first.Covers(marks) {
			t.Errorf("a host that read up to %d does not cover the marks of another: %+v", sooner, marks)
		}
	})
}
