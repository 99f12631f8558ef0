package spare_test

import (
	"testing"
	"time"

	"damaskreach/internal/spare"
)

const window = 10 * time.Second

// day is the steady clock of hosts.
type day struct{ now time.Duration }

func (d *day) pass(by time.Duration) { d.now += by }

// start returns a process that begins now on one of so many hosts.
func (d *day) start(hosts int) *spare.Spare {
	return &spare.Spare{
		Hosts: func() int { return hosts }, Clock: func() time.Duration { return d.now }, Begun: d.now,
		Bound: func() (float64, float64, time.Duration) { return 0.2, 60, window },
	}
}

// wantBounded checks that no window has more retries than the bound, whatever its start.
func wantBounded(t *testing.T, again []time.Duration, most float64) {
	t.Helper()
	for i := range again {
		n := 0
		for j := i; j < len(again) && again[j]-again[i] < window; j++ {
			n++
		}
		if float64(n) > most {
			t.Fatalf("retries in the window from %v = %d, want at most %.0f", again[i], n, most)
		}
	}
}

// All requests of a group fail at once. Sent again without a bound, they would double the load on upstreams that are
// failing already; in no window do they get more than the hosts' common bound, whatever the window's start.
func TestStormOfRetriesIsBoundedInEveryWindow(t *testing.T) {
	const hosts = 3
	d, all := &day{}, make([]*spare.Spare, hosts)
	for i := range all {
		all[i] = d.start(hosts)
	}
	d.pass(window)
	var again []time.Duration
	first := 0
	for range 400 {
		d.pass(100 * time.Millisecond)
		for _, s := range all {
			s.First("g")
			first++
			for range 3 {
				if s.Again("g") {
					again = append(again, d.now)
				}
			}
		}
	}
	perWindow := float64(first) / 4
	wantBounded(t, again, 0.2*perWindow+60)
	if len(again) < 100 {
		t.Errorf("retries = %d, want the bound used", len(again))
	}
}

// One group's failures must not take the retries of another's requests.
func TestGroupsHaveBoundsOfTheirOwn(t *testing.T) {
	d := &day{}
	s := d.start(1)
	d.pass(window)
	for s.Again("g") {
	}
	if !s.Again("h") {
		t.Error("no retry for the other group, want one")
	}
}

// Hosts are killed and start again, more than once within a window, while all requests fail. A process does not know what the one before it has used;
// with a part of the bound for each start, upstreams that fail already would get several times what all hosts together may send again.
func TestStartsDoNotRenewTheBound(t *testing.T) {
	const hosts = 8
	d, all := &day{}, make([]*spare.Spare, hosts)
	for i := range all {
		all[i] = d.start(hosts)
	}
	d.pass(window)
	var again []time.Duration
	first := 0
	for step := range 300 {
		d.pass(100 * time.Millisecond)
		if step%40 == 39 {
			for i := range hosts * 7 / 10 {
				all[i] = d.start(hosts)
			}
		}
		for _, s := range all {
			if step%10 == 0 {
				s.First("g")
				first++
			}
			for s.Again("g") {
				again = append(again, d.now)
			}
		}
	}
	perWindow := float64(first) * window.Seconds() / 30
	wantBounded(t, again, 0.2*perWindow+60)
}
