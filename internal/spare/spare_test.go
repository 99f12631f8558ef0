package spare_test

import (
	"testing"
	"time"

	"damaskreach/internal/spare"
)

func newSpare(hosts int) *spare.Spare {
	return &spare.Spare{
		Hosts: func() int { return hosts },
		Bound: func() (float64, float64, time.Duration) { return 0.2, 60, 10 * time.Second },
	}
}

// All requests of a group fail at once. Sent again without a bound, they would double the load on upstreams that are
// failing already; in no window do they get more than the hosts' common bound, whatever the window's start.
func TestStormOfRetriesIsBoundedInEveryWindow(t *testing.T) {
	const hosts = 3
	all := make([]*spare.Spare, hosts)
	for i := range all {
		all[i] = newSpare(hosts)
	}
	now := time.Unix(1000, 0)
	var again []time.Time
	first := 0
	for range 400 {
		now = now.Add(100 * time.Millisecond)
		for _, s := range all {
			s.First("g", now)
			first++
			for range 3 {
				if s.Again("g", now) {
					again = append(again, now)
				}
			}
		}
	}
	perWindow := float64(first) / 4
	for i := range again {
		n := 0
		for j := i; j < len(again) && again[j].Sub(again[i]) < 10*time.Second; j++ {
			n++
		}
		if most := 0.2*perWindow + 60; float64(n) > most {
			t.Fatalf("retries in the window from %v = %d, want at most %.0f", again[i], n, most)
		}
	}
	if len(again) < 100 {
		t.Errorf("retries = %d, want the bound used", len(again))
	}
}

// One group's failures must not take the retries of another's requests.
func TestGroupsHaveBoundsOfTheirOwn(t *testing.T) {
	s := newSpare(1)
	now := time.Unix(1000, 0)
	for s.Again("g", now) {
	}
	if !s.Again("h", now) {
		t.Error("no retry for the other group, want one")
	}
}
