package sched_test

import (
	"errors"
	"testing"
	"time"

	"damaskreach/internal/order"
	"damaskreach/internal/report"
	"damaskreach/internal/runner"
	"damaskreach/internal/sched"
	"damaskreach/internal/tune"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// After a takeover nothing may be unloaded until the earlier owner is known to have stopped. If the digest listed idle models
// meanwhile, requests that need an unload would be sent here and wait while other runners have room.
func TestDigestListsNoIdleModelsUnderHold(t *testing.T) {
	s := newReported(1, 4, tune.Default())
	s.Submit(at(0), newCall("a1", "red"))
	s.Loaded(at(time.Second), "red@1", nil)
	s.Finish(at(2*time.Second), "a1", 10)
	s.HoldUnloads(true)
	if got, want := s.Digest(at(3*time.Second)).Idle, 0; got != want {
		t.Errorf("idle models under a hold: got %d, want %d", got, want)
	}
	if got, want := len(ofKind(s.Submit(at(3*time.Second), newCall("a2", "blue")), order.Unload)), 0; got != want {
		t.Errorf("unloads under a hold: got %d, want %d", got, want)
	}
	if got, want := len(ofKind(s.HoldUnloads(false), order.Unload)), 1; got != want {
		t.Errorf("unloads after the hold: got %d, want %d", got, want)
	}
}

// An earlier owner has died but still counts as alive, so nothing may be unloaded for hours. A request that needs a slot must be
// refused as not run after the documented time, later ones at once; requests for resident models are served.
func TestRunnerWithoutFreeableSlotRefusesWaiting(t *testing.T) {
	s := newReported(1, 4, tune.Default())
	s.Submit(at(0), newCall("a1", "red"))
	s.Loaded(at(time.Second), "red@1", nil)
	s.Finish(at(2*time.Second), "a1", 10)
	s.HoldUnloads(true)
	s.Submit(at(3*time.Second), newCall("a2", "blue"))
	if got, want := s.Digest(at(3*time.Second)).Stuck, true; got != want {
		t.Errorf("digest: got stuck %v, want %v", got, want)
	}
	if got, want := len(ofKind(s.Tick(at(16*time.Second)), order.Refuse)), 0; got != want {
		t.Errorf("refusals before the time is up: got %d, want %d", got, want)
	}
	wantNoRoom(t, "request that waited", ofKind(s.Tick(at(17*time.Second)), order.Refuse))
	wantNoRoom(t, "request that came later", ofKind(s.Submit(at(19*time.Second), newCall("a3", "green")), order.Refuse))
	if got, want := len(ofKind(s.Submit(at(20*time.Second), newCall("a4", "red")), order.Start)), 1; got != want {
		t.Errorf("starts on the resident model: got %d, want %d", got, want)
	}
	s.HoldUnloads(false)
	s.Finish(at(21*time.Second), "a4", 10)
	if got, want := len(ofKind(s.Submit(at(22*time.Second), newCall("a5", "blue")), order.Refuse)), 0; got != want {
		t.Errorf("refusals after the hold: got %d, want %d", got, want)
	}
}

// An earlier owner announced an unload and died before the engine was seen to do it. A request for that adapter may not start, and
// would wait for hours while slots are free.
func TestBlockedModelRefusesWaiting(t *testing.T) {
	s := sched.NewSched(runner.Runner{Name: "r1", Slots: 2, Batch: 4}, tune.Default())
	s.Block("red@1") // at the takeover, before anything else
	s.Report(at(time.Second), report.Report{Slots: 2, Batch: 4, Boot: "boot-1"})
	if got, want := len(ofKind(s.Submit(at(2*time.Second), newCall("a1", "red")), order.Refuse)), 0; got != want {
		t.Errorf("refusals before the time is up: got %d, want %d", got, want)
	}
	if got, want := len(ofKind(s.Tick(at(30*time.Second)), order.Refuse)), 0; got != want {
		t.Errorf("refusals before the time is up: got %d, want %d", got, want)
	}
	wantNoRoom(t, "request for the model", ofKind(s.Tick(at(31*time.Second)), order.Refuse))
	if got, want := len(ofKind(s.Submit(at(31*time.Second), newCall("a2", "blue")), order.Load)), 1; got != want {
		t.Errorf("loads of another model: got %d, want %d", got, want)
	}
}

// An unload has no answer and the engine sends no reports, so the order may still arrive. Requests for its model must be
// refused and not wait for a report.
func TestUnansweredUnloadRefusesWaiting(t *testing.T) {
	s := newReported(2, 4, tune.Default())
	s.Tick(at(time.Second))
	s.UnloadUnanswered("red@1")
	s.Submit(at(2*time.Second), newCall("a1", "red"))
	if got, want := len(ofKind(s.Tick(at(30*time.Second)), order.Refuse)), 0; got != want {
		t.Errorf("refusals before the time is up: got %d, want %d", got, want)
	}
	wantNoRoom(t, "request for the model", ofKind(s.Tick(at(31*time.Second)), order.Refuse))
}

// The table service is down and the engine ignores fences, so no unload can be announced and each try fails. A request that
// needs a slot would wait for the end of the outage.
func TestFailingUnloadRefusesWaiting(t *testing.T) {
	s := newReported(1, 4, tune.Default())
	s.Submit(at(0), newCall("a1", "red"))
	s.Loaded(at(time.Second), "red@1", nil)
	s.Finish(at(2*time.Second), "a1", 10)
	s.Submit(at(3*time.Second), newCall("a2", "blue"))
	var refused []order.Order
	for now := 4 * time.Second; now < 20*time.Second; now += 5 * time.Second {
		failed := s.Unloaded(at(now), "red@1", errors.New("the row could not be written"))
		refused = append(refused, ofKind(failed, order.Refuse)...)
		refused = append(refused, ofKind(s.Tick(at(now+time.Second)), order.Refuse)...)
	}
	wantNoRoom(t, "request that waited", refused)
	s.Unloaded(at(25*time.Second), "red@1", nil)
	if got, want := len(ofKind(s.Submit(at(26*time.Second), newCall("a3", "blue")), order.Load)), 1; got != want {
		t.Errorf("loads after the outage: got %d, want %d", got, want)
	}
}

// The table service is down, so an unload cannot be announced and is not sent. Its model is still resident and must serve
// requests, and the unload must not be tried on one model after the other without a pause.
func TestUnsentUnloadKeepsModelResident(t *testing.T) {
	s := newReported(1, 4, tune.Default())
	s.Submit(at(0), newCall("a1", "red"))
	s.Loaded(at(time.Second), "red@1", nil)
	s.Finish(at(2*time.Second), "a1", 10)
	if got, want := len(ofKind(s.Submit(at(3*time.Second), newCall("a2", "blue")), order.Unload)), 1; got != want {
		t.Fatalf("unloads for a request: got %d, want %d", got, want)
	}
	if got, want := len(ofKind(s.UnloadUnsent(at(4*time.Second), "red@1"), order.Unload)), 0; got != want {
		t.Errorf("unloads right after one that was not sent: got %d, want %d", got, want)
	}
	if got, want := len(ofKind(s.Submit(at(4100*time.Millisecond), newCall("a3", "red")), order.Start)), 1; got != want {
		t.Errorf("starts on the model: got %d, want %d", got, want)
	}
	s.Finish(at(5*time.Second), "a3", 10)
	var refused []order.Order
	tries := 0
	for now := 6 * time.Second; now < 20*time.Second; now += 50 * time.Millisecond {
		orders := s.Tick(at(now))
		tries += len(ofKind(orders, order.Unload))
		orders = append(orders, s.UnloadUnsent(at(now), "red@1")...)
		refused = append(refused, ofKind(orders, order.Refuse)...)
	}
	wantNoRoom(t, "request that waited", refused)
	if maxTries := 10; tries > maxTries {
		t.Errorf("tries of an unload in 14 s: got %d, want at most %d", tries, maxTries)
	}
	for when, want := range map[time.Duration]bool{20 * time.Second: true, 31 * time.Second: false} {
		if got := s.Digest(at(when)).Stuck; got != want {
			t.Errorf("digest %s after the start: got stuck %v, want %v", when, got, want)
		}
	}
	if got, want := len(ofKind(s.Submit(at(31*time.Second), newCall("a4", "blue")), order.Unload)), 1; got != want {
		t.Fatalf("unloads for a later request: got %d, want %d", got, want)
	}
	if got, want := len(ofKind(s.Unloaded(at(32*time.Second), "red@1", nil), order.Load)), 1; got != want {
		t.Errorf("loads after the outage: got %d, want %d", got, want)
	}
}

// wantNoRoom fails the test unless there is one refusal for lack of room, as not run and with a retry time.
func wantNoRoom(t *testing.T, what string, refused []order.Order) {
	t.Helper()
	if got, want := len(refused), 1; got != want {
		t.Fatalf("%s: got %d refusals, want %d", what, got, want)
	}
	r := refused[0].Refusal
	if r.Code != refuse.NoRoom || r.Verdict != verd.NotRun || r.Retry <= 0 {
		t.Errorf("%s: got %s with retry after %s, want %s, %s and a retry time", what, r.Error(), r.Retry, refuse.NoRoom, verd.NotRun)
	}
}
