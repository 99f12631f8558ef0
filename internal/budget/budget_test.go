package budget_test

import (
	"testing"

	"damaskreach/internal/budget"
)

// Every request fails. Two retries each would triple the load of a failing site.
func TestRetriesStayWithinShare(t *testing.T) {
	const requests, share, saved = 1000, 0.1, 20
	b := budget.NewBudget(share)
	retries := 0
	for range requests {
		b.AddRequest()
		for range 2 {
			if b.TryRetry() {
				retries++
			}
		}
	}
	if low, high := int(requests*share), int(requests*share)+saved; retries < low || retries > high {
		t.Errorf("retries: got %d, want %d to %d", retries, low, high)
	}
}
