package intake_test

import (
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/intake"
	"damaskreach/internal/rows"
)

// Guards against hosts that wait at the store for a change they have, since another host's answer with it was of a later revision.
func TestChangeReadAtALaterRevisionIsNoNewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const changed, sooner, later = 50, 60, 70 // revisions: of the row, and of the answers that bring it
		begin := func(rev int64) *intake.Intake {
			return start(t, &source{rev: rev - 1, rows: map[string][]rows.Row{
				"op/": {{Key: "op/config", Value: []byte{1}, Rev: changed}},
				"up/": {{Key: "up/a", Value: []byte("ok"), Rev: changed}},
			}})
		}
		first, second := begin(sooner), begin(later)
		time.Sleep(500 * time.Millisecond) // the first answers are there, the next ones wait for a change
		told, ok := second.Marks()
		if !ok || told.Conf != changed {
			t.Errorf("newest change of the operators' rows = %d, reads for others = %v, want %d and so", told.Conf, ok, changed)
		}
		if told.Targets != changed {
			t.Errorf("newest change of the upstreams = %d, want %d", told.Targets, changed)
		}
		if !first.Covers(told) {
			t.Errorf("a host that read up to %d lacks what another one tells: %+v", sooner, told)
		}
	})
}
