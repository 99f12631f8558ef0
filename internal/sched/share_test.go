package sched_test

import (
	"fmt"
	"testing"
	"time"

	"damaskreach/internal/order"
	"damaskreach/internal/sched"
	"damaskreach/internal/tune"
	"damaskreach/pkg/refuse"
)

// newBusy returns a scheduler with a resident model and a request for it in progress.
func newBusy(batch int, tu tune.Tune) *sched.Sched {
	s := newReported(2, batch, tu)
	s.Submit(at(0), newCall("first", "red"))
	s.Loaded(at(0), "red@1", nil)
	return s
}

// One tenant fills the queue. In order of arrival the others would wait behind all of its requests.
func TestTenantsShareByWeight(t *testing.T) {
	tu := tune.Default()
	tu.Queue = 1000
	s := newBusy(1, tu)
	s.SetWeight("big", 3)
	s.SetWeight("small", 1)
	for n := range 200 {
		for _, tenant := range []string{"big", "small"} {
			c := newCall(fmt.Sprint(tenant, n), "red")
			c.Tenant = tenant
			s.Submit(at(0), c)
		}
	}
	starts := map[string]int{}
	running := "first"
	for range 100 {
		orders := ofKind(s.Finish(at(0), running, 10), order.Start)
		if len(orders) != 1 {
			t.Fatalf("starts after a finish: got %d, want 1", len(orders))
		}
		running = orders[0].Attempt
		starts[running[:3]]++
	}
	if got, low, high := starts["big"], 73, 77; got < low || got > high {
		t.Errorf("starts of the tenant with 3 of 4 shares: got %d of 100, want %d to %d", got, low, high)
	}
}

func TestPriorityGoesFirst(t *testing.T) {
	s := newBusy(1, tune.Default())
	s.Submit(at(0), newCall("low", "red"))
	urgent := newCall("high", "red")
	urgent.Priority = 1
	s.Submit(at(0), urgent)
	starts := ofKind(s.Finish(at(time.Second), "first", 10), order.Start)
	if len(starts) != 1 || starts[0].Attempt != "high" {
		t.Errorf("started first: got %v, want high", starts)
	}
}

// A request is queued until its deadline passes. The refusal must come while its caller can still act on it.
func TestHopelessDeadlineIsRefusedEarly(t *testing.T) {
	s := newBusy(1, tune.Default())
	c := newCall("late", "red")
	c.Tokens = 1000
	c.Deadline = at(20 * time.Second)
	if refused := ofKind(s.Submit(at(0), c), order.Refuse); len(refused) != 0 {
		t.Fatalf("refusals while there is time: got %v, want none", refused)
	}
	for now := time.Duration(0); now < 20*time.Second; now += 50 * time.Millisecond {
		refused := ofKind(s.Tick(at(now)), order.Refuse)
		if len(refused) == 0 {
			continue
		}
		if got, want := refused[0].Refusal.Code, refuse.Deadline; got != want {
			t.Errorf("code: got %q, want %q", got, want)
		}
		if left := 20*time.Second - now; left < time.Second {
			t.Errorf("time left at the refusal: got %v, want at least a second", left)
		}
		return
	}
	t.Error("the request was never refused")
}

// The queue is full of requests that wait for a load. A request for a resident model could start at once and must not be
// refused.
func TestFullQueueRefusesNothingThatCanStart(t *testing.T) {
	tu := tune.Default()
	tu.Queue = 3
	s := newBusy(4, tu)
	var refused []order.Order
	for n := range 5 {
		refused = append(refused, ofKind(s.Submit(at(0), newCall(fmt.Sprint("cold", n), "blue")), order.Refuse)...)
	}
	if got, want := len(refused), 2; got != want {
		t.Fatalf("refusals over the bound: got %d, want %d", got, want)
	}
	if got, want := refused[0].Refusal.Code, refuse.Overloaded; got != want {
		t.Errorf("code: got %q, want %q", got, want)
	}
	orders := s.Submit(at(0), newCall("warm", "red"))
	if got, want := len(ofKind(orders, order.Start)), 1; got != want {
		t.Errorf("starts of the one that fits: got %d, want %d", got, want)
	}
	if got, want := len(ofKind(orders, order.Refuse)), 0; got != want {
		t.Errorf("refusals: got %d, want %d", got, want)
	}
}

// All slots hold models in constant use. The request for a rare model would wait for ever.
func TestRareModelGetsASlotFromBusyOnes(t *testing.T) {
	s := newReported(1, 4, tune.Default())
	s.Submit(at(0), newCall("hot0", "red"))
	s.Loaded(at(0), "red@1", nil)
	s.Submit(at(0), newCall("rare", "blue"))
	running := "hot0"
	for n := 1; n < 100; n++ {
		now := at(time.Duration(n) * 200 * time.Millisecond)
		c := newCall(fmt.Sprint("hot", n), "red")
		orders := s.Submit(now, c)
		orders = append(orders, s.Finish(now, running, 10)...)
		if len(ofKind(orders, order.Unload)) > 0 {
			return
		}
		if len(ofKind(orders, order.Start)) > 0 {
			running = c.Attempt
		}
	}
	t.Error("the rare model got no slot in 20 s")
}
