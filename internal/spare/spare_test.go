package spare_test

import (
	"testing"
	"time"

	"damaskreach/internal/spare"
)

const window = 10 * time.Second

// fakeClock is the monotonic clock of the hosts.
type fakeClock struct{ now time.Duration }

func (d *fakeClock) advance(by time.Duration) { d.now += by }

// newHost starts a process on one of the given number of hosts.
func (d *fakeClock) newHost(hosts int) *spare.Spare {
	return &spare.Spare{
		Hosts: func() int { return hosts }, Clock: func() time.Duration { return d.now }, StartedAt: d.now,
		Bound: func() (float64, float64, time.Duration) { return 0.2, 60, window },
	}
}

// wantBounded checks that no window, whatever its start, has more retries than the bound.
func wantBounded(t *testing.T, retries []time.Duration, maxRetries float64) {
	t.Helper()
	for i := range retries {
		n := 0
		for j := i; j < len(retries) && retries[j]-retries[i] < window; j++ {
			n++
		}
		if float64(n) > maxRetries {
			t.Fatalf("retries in the window from %v = %d, want at most %.0f", retries[i], n, maxRetries)
		}
	}
}

// All requests of a group fail at once. Unbounded retries would double the load on failing upstreams; no window may have
// more than the common bound of all hosts.
func TestRetriesAreBoundedInEveryWindow(t *testing.T) {
	const hosts = 3
	d, all := &fakeClock{}, make([]*spare.Spare, hosts)
	for i := range all {
		all[i] = d.newHost(hosts)
	}
	d.advance(window)
	var retries []time.Duration
	requests := 0
	for range 400 {
		d.advance(100 * time.Millisecond)
		for _, s := range all {
			s.CountFirst("g")
			requests++
			for range 3 {
				if s.TryRetry("g") {
					retries = append(retries, d.now)
				}
			}
		}
	}
	perWindow := float64(requests) / 4
	wantBounded(t, retries, 0.2*perWindow+60)
	if len(retries) < 100 {
		t.Errorf("retries = %d, want the bound used", len(retries))
	}
}

// The failures of one group must not use up the retries of another.
func TestGroupsAreBoundedSeparately(t *testing.T) {
	d := &fakeClock{}
	s := d.newHost(1)
	d.advance(window)
	for s.TryRetry("g") {
	}
	if !s.TryRetry("h") {
		t.Error("no retry for the other group, want one")
	}
}

// Hosts restart several times within a window while all requests fail. If each new process had a full part of the bound,
// upstreams would get several times the common bound.
func TestRestartDoesNotRenewTheBound(t *testing.T) {
	const hosts = 8
	d, all := &fakeClock{}, make([]*spare.Spare, hosts)
	for i := range all {
		all[i] = d.newHost(hosts)
	}
	d.advance(window)
	var retries []time.Duration
	requests := 0
	for step := range 300 {
		d.advance(100 * time.Millisecond)
		if step%40 == 39 {
			for i := range hosts * 7 / 10 {
				all[i] = d.newHost(hosts)
			}
		}
		for _, s := range all {
			if step%10 == 0 {
				s.CountFirst("g")
				requests++
			}
			for s.TryRetry("g") {
				retries = append(retries, d.now)
			}
		}
	}
	perWindow := float64(requests) * window.Seconds() / 30
	wantBounded(t, retries, 0.2*perWindow+60)
}
