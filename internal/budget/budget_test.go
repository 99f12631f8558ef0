package budget_test

import (
	"testing"

	"damaskreach/internal/budget"
)

// Every request fails. Each of them retried twice would triple the load of a site that is failing already.
func TestRetriesStayWithinTheirShare(t *testing.T) {
	const requests, share, saved = 1000, 0.1, 20
	b := budget.NewBudget(share)
	retries := 0
	for range requests {
		b.Request()
		for range 2 {
			if b.Retry() {
				retries++
			}
		}
	}
	if low, high := int(requests*share), int(requests*share)+saved; retries < low || retries > high {
		t.Errorf("retries: got %d, want %d to %d", retries, low, high)
	}
}
