package resp_test

import (
	"testing"

	"damaskreach/internal/doubt"
	"damaskreach/internal/resp"
	"damaskreach/pkg/verd"
)

// Upstreams answer bookings that they have run with statuses that tell callers to book again. Only what an upstream states counts.
func TestOnlyAStatementMeansNotRun(t *testing.T) {
	for _, c := range []struct {
		status               int
		rejected, repeatable bool
		want                 verd.Verdict
	}{
		{200, false, false, verd.Ran},
		{200, true, false, verd.MayHaveRun},
		{200, true, true, verd.MayHaveRun},
		{400, false, false, verd.Ran},
		{400, true, false, verd.NotRun},
		{408, false, false, verd.MayHaveRun},
		{408, true, false, verd.NotRun},
		{421, false, false, verd.MayHaveRun},
		{421, false, true, verd.NotRun},
		{421, true, false, verd.NotRun},
		{429, false, false, verd.MayHaveRun},
		{429, true, false, verd.NotRun},
		{500, false, false, verd.Ran},
		{502, false, true, verd.Ran},
		{503, false, false, verd.MayHaveRun},
		{503, false, true, verd.MayHaveRun},
		{503, true, false, verd.NotRun},
		{504, false, false, verd.Ran},
	} {
		if got := (resp.Resp{Status: c.status, Rejected: c.rejected}).Verdict(c.repeatable); got != c.want {
			t.Errorf("status %d, rejected %v, repeatable %v: Verdict() = %v, want %v", c.status, c.rejected, c.repeatable, got, c.want)
		}
	}
}

// Upstreams that have run a booking answer it with the header that says "not run" and with something else that speaks against it. Believed, the booking runs
// twice, or its caller books again.
func TestAStatementInDoubtMeansThatTheRequestMayHaveRun(t *testing.T) {
	for _, status := range []int{400, 421, 429, 500, 503, 504} {
		for _, d := range []doubt.Doubt{doubt.Unnamed, doubt.Status, doubt.Value, doubt.Stamped} {
			r := resp.Resp{Status: status, Rejected: true, Doubt: d}
			if got, want := r.Verdict(false), verd.MayHaveRun; got != want {
				t.Errorf("status %d, doubt %v: Verdict() = %v, want %v", status, d, got, want)
			}
		}
	}
}
