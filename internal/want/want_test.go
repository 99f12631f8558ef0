package want_test

import (
	"errors"
	"testing"
	"time"

	"damaskreach/internal/want"
)

// What a host answers another one must come out as it went in: a crowded engine's wait decides where the request goes next.
func TestErrorsSurviveTheWayBetweenHosts(t *testing.T) {
	for _, err := range []error{nil, want.ErrElsewhere, want.ErrBusy, want.ErrFailed, want.ErrLeaves, want.NewCrowded(350 * time.Millisecond)} {
		got := want.FromText(want.Text(err))
		if want.Code(got) != want.Code(err) || want.Wait(got) != want.Wait(err) {
			t.Errorf("%v came out as %v with %v", err, got, want.Wait(got))
		}
	}
	if got := want.FromText("crowded soon"); !errors.Is(got, want.ErrCrowded) {
		t.Errorf("a wait that cannot be read makes %v, want %v", got, want.ErrCrowded)
	}
}
