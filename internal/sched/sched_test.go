package sched_test

import (
	"errors"
	"testing"
	"time"

	"damaskreach/internal/call"
	"damaskreach/internal/order"
	"damaskreach/internal/report"
	"damaskreach/internal/runner"
	"damaskreach/internal/sched"
	"damaskreach/internal/tune"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

var startTime = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func at(after time.Duration) time.Time {
	return startTime.Add(after)
}

// newReported returns a scheduler whose engine has reported no resident models.
func newReported(slots, batch int, tu tune.Tune) *sched.Sched {
	s := sched.NewSched(runner.Runner{Name: "r1", Group: "g", Slots: slots, Batch: batch}, tu)
	s.Report(startTime, report.Report{At: startTime, Boot: "b1", Slots: slots, Batch: batch})
	return s
}

func newCall(attempt, adapter string) call.Call {
	return call.Call{Attempt: attempt, Tenant: "t", Adapter: adapter, Version: "1", Group: "g", Tokens: 10}
}

// ofKind returns the orders of one kind.
func ofKind(orders []order.Order, kind string) []order.Order {
	var found []order.Order
	for _, o := range orders {
		if o.Kind == kind {
			found = append(found, o)
		}
	}
	return found
}

func TestStartsOnceTheModelIsResident(t *testing.T) {
	s := newReported(1, 4, tune.Default())
	orders := s.Submit(at(0), newCall("a1", "red"))
	if got, want := len(ofKind(orders, order.Load)), 1; got != want {
		t.Fatalf("loads after the submit: got %d, want %d", got, want)
	}
	if got, want := len(ofKind(orders, order.Start)), 0; got != want {
		t.Fatalf("starts before the load: got %d, want %d", got, want)
	}
	orders = s.Loaded(at(time.Second), "red@1", nil)
	if got, want := len(ofKind(orders, order.Start)), 1; got != want {
		t.Fatalf("starts after the load: got %d, want %d", got, want)
	}
	if got, want := s.InUse("red@1"), 1; got != want {
		t.Errorf("in use: got %d, want %d", got, want)
	}
}

// An adapter's weights are damaged in the store, so all its loads fail. Its requests must be refused after a few tries, not hang
// until they time out.
func TestFailingLoadsAreGivenUp(t *testing.T) {
	s := newReported(2, 4, tune.Default())
	s.Submit(at(0), newCall("a1", "red"))
	now := time.Duration(0)
	for try := 1; ; try++ {
		refused := ofKind(s.Loaded(at(now), "red@1", errors.New("checksum")), order.Refuse)
		if len(refused) == 1 {
			if got, want := refused[0].Refusal.Code, refuse.LoadFailed; got != want {
				t.Errorf("code: got %q, want %q", got, want)
			}
			if got, want := refused[0].Refusal.Verdict, verd.NotRun; got != want {
				t.Errorf("verdict: got %v, want %v", got, want)
			}
			if refused[0].Refusal.Retry <= 0 {
				t.Errorf("retry: got %v, want a retry time", refused[0].Refusal.Retry)
			}
			if try < 2 || try > 5 {
				t.Errorf("tries: got %d, want a few", try)
			}
			return
		}
		if try > 5 {
			t.Fatal("the attempt was still queued after 5 failed loads")
		}
		for len(ofKind(s.Tick(at(now)), order.Load)) == 0 {
			now += 50 * time.Millisecond
		}
	}
}

// An engine crashes and restarts empty. If its adapters still counted as resident, requests would fail or run on the base
// model.
func TestEngineRestartDropsResidents(t *testing.T) {
	s := newReported(1, 4, tune.Default())
	s.Submit(at(0), newCall("a1", "red"))
	s.Loaded(at(time.Second), "red@1", nil)
	s.Report(at(2*time.Second), report.Report{Boot: "b2", Slots: 1, Batch: 4})
	orders := s.Submit(at(2*time.Second), newCall("a2", "red"))
	orders = append(orders, s.Finish(at(3*time.Second), "a1", 0)...)
	if got, want := len(ofKind(orders, order.Unload)), 1; got != want {
		t.Errorf("unloads of the lost model: got %d, want %d", got, want)
	}
	if got, want := len(ofKind(orders, order.Start)), 0; got != want {
		t.Errorf("starts without the adapter: got %d, want %d", got, want)
	}
	orders = s.Unloaded(at(3*time.Second), "red@1", nil)
	if got, want := len(ofKind(orders, order.Load)), 1; got != want {
		t.Errorf("loads: got %d, want %d", got, want)
	}
}

// The report of a restart arrives after a request has started on an adapter loaded since. If that adapter counts as lost, its
// unload cuts the answer off.
func TestLateRestartReportCutsNoRequest(t *testing.T) {
	s := newReported(1, 4, tune.Default())
	s.Submit(at(0), newCall("a1", "red"))
	s.Loaded(at(time.Second), "red@1", nil)
	s.Report(at(2*time.Second), report.Report{Boot: "b2", Slots: 1, Batch: 4})
	orders := s.Submit(at(10*time.Second), newCall("a2", "blue"))
	if got, want := len(ofKind(orders, order.Unload)), 0; got != want {
		t.Errorf("unloads of a model in use: got %d, want %d", got, want)
	}
	if got, want := s.InUse("red@1"), 1; got != want {
		t.Errorf("in use: got %d, want %d", got, want)
	}
}

// Before the first report the slots of an engine may hold anything. A load into a taken slot fails or, on some engines, evicts a
// model that a former owner's request still uses.
func TestNothingIsLoadedBeforeTheFirstReport(t *testing.T) {
	s := sched.NewSched(runner.Runner{Name: "r1", Group: "g", Slots: 1, Batch: 4}, tune.Default())
	orders := append(s.Submit(at(0), newCall("a1", "red")), s.Tick(at(time.Second))...)
	if got, want := len(orders), 0; got != want {
		t.Fatalf("orders before the report: got %v, want none", orders)
	}
	s.Pin("blue@1")
	orders = s.Report(at(time.Second), report.Report{Resident: []string{"blue@1"}, Slots: 1, Batch: 4})
	if got, want := len(ofKind(orders, order.Unload)), 0; got != want {
		t.Fatalf("unloads of a pinned model: got %d, want %d", got, want)
	}
	if got, want := len(ofKind(s.Unpin("blue@1"), order.Unload)), 1; got != want {
		t.Errorf("unloads after the pin: got %d, want %d", got, want)
	}
}

// A runner is handed over while requests are queued. They must be refused at once, not wait until their deadlines for an owner
// that starts nothing any more.
func TestCloseRefusesQueueAtOnce(t *testing.T) {
	s := newReported(1, 1, tune.Default())
	s.Submit(at(0), newCall("a1", "red"))
	refused := ofKind(s.Close(at(0), "the runner was handed over"), order.Refuse)
	refused = append(refused, ofKind(s.Submit(at(0), newCall("a2", "red")), order.Refuse)...)
	if got, want := len(refused), 2; got != want {
		t.Fatalf("refusals: got %d, want %d", got, want)
	}
	for _, o := range refused {
		if got, want := o.Refusal.Code, refuse.Moved; got != want {
			t.Errorf("code of %s: got %q, want %q", o.Attempt, got, want)
		}
	}
}
