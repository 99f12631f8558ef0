package sched_test

import (
	"testing"
	"time"

	"damaskreach/internal/order"
	"damaskreach/internal/sched"
	"damaskreach/internal/tune"
)

// Operators keep an adapter resident that is rarely requested but then urgently. It must be loaded before its first request and
// not be unloaded in quiet hours like any other.
func TestKeptAdapterIsPreloaded(t *testing.T) {
	s := newReported(2, 4, tune.Default())
	runOnce(s, "a1", "red", 0)
	runOnce(s, "a2", "blue", time.Second)
	s.SetCopies(map[string]int{"red@1": 1, "blue@1": 1})
	s.KeepResident(map[string]bool{"sundown@1": true, "elsewhere@1": false})
	unloads := ofKind(s.Tick(at(3*time.Second)), order.Unload)
	if got, want := len(unloads), 1; got != want {
		t.Fatalf("unloads to make room: got %d, want %d", got, want)
	}
	loads := ofKind(s.Unloaded(at(4*time.Second), unloads[0].Model, nil), order.Load)
	if len(loads) != 1 || loads[0].Model != "sundown@1" {
		t.Fatalf("loads after the unload: got %v, want one of sundown@1", loads)
	}
	s.Loaded(at(5*time.Second), "sundown@1", nil)
	s.SetCopies(map[string]int{"sundown@1": 1, "red@1": 1})
	left := "red@1"
	if unloads[0].Model == left {
		left = "blue@1"
	}
	unloads = ofKind(s.Submit(at(time.Hour), newCall("a3", "green")), order.Unload)
	if len(unloads) != 1 || unloads[0].Model != left {
		t.Errorf("unloads for another adapter: got %v, want %s", unloads, left)
	}
}

// Every slot holds the last copy of a kept adapter. A request for another adapter must be served all the same, not refused while a
// slot is idle.
func TestKeptAdapterIsUnloadedAsLastResort(t *testing.T) {
	s := newReported(1, 4, tune.Default())
	runOnce(s, "a1", "red", 0)
	s.SetCopies(map[string]int{"red@1": 1})
	s.KeepResident(map[string]bool{"red@1": true})
	if got, want := len(ofKind(s.Submit(at(time.Minute), newCall("a2", "blue")), order.Unload)), 1; got != want {
		t.Errorf("unloads: got %d, want %d", got, want)
	}
}

// runOnce loads an adapter and runs one request for it.
func runOnce(s *sched.Sched, attempt, adapter string, when time.Duration) {
	s.Submit(at(when), newCall(attempt, adapter))
	s.Loaded(at(when), adapter+"@1", nil)
	s.Finish(at(when), attempt, 10)
}
