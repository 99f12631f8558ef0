package rates_test

import (
	"testing"
	"time"

	"damaskreach/internal/rates"
)

// One host has measured nothing yet, another one met a slow engine: neither may determine the median.
func TestMedianIgnoresOutliers(t *testing.T) {
	got := rates.Median([]rates.Rates{
		{TokenTime: 26 * time.Microsecond, EventInterval: 30 * time.Millisecond}, {}, {TokenTime: 400 * time.Microsecond},
		{TokenTime: 27 * time.Microsecond, EventInterval: 31 * time.Millisecond},
		{TokenTime: 25 * time.Microsecond, EventInterval: 900 * time.Millisecond},
	})
	if want := (rates.Rates{TokenTime: 27 * time.Microsecond, EventInterval: 31 * time.Millisecond}); got != want {
		t.Errorf("Median = %v, want %v", got, want)
	}
	if got, want := rates.Median(nil), (rates.Rates{}); got != want {
		t.Errorf("Median of none = %v, want %v", got, want)
	}
}
