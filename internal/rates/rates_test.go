package rates_test

import (
	"testing"
	"time"

	"damaskreach/internal/rates"
)

// One host has just started and measured nothing, another one met a slow engine. What a new host starts from follows neither.
func TestMedianFollowsNoSingleHost(t *testing.T) {
	got := rates.Median([]rates.Rates{
		{Token: 26 * time.Microsecond, Event: 30 * time.Millisecond}, {}, {Token: 400 * time.Microsecond},
		{Token: 27 * time.Microsecond, Event: 31 * time.Millisecond}, {Token: 25 * time.Microsecond, Event: 900 * time.Millisecond},
	})
	if want := (rates.Rates{Token: 27 * time.Microsecond, Event: 31 * time.Millisecond}); got != want {
		t.Errorf("Median = %v, want %v", got, want)
	}
	if got, want := rates.Median(nil), (rates.Rates{}); got != want {
		t.Errorf("Median of none = %v, want %v", got, want)
	}
}
