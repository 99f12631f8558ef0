package sched_test

import (
	"testing"
	"time"

	"damaskreach/internal/order"
	"damaskreach/internal/sched"
	"damaskreach/internal/tune"
)

// Operators pin an adapter that is seldom asked for and then in an urgent hour. Unpinned in effect, its first caller would
// wait for the load; unloaded like any other, every caller after a quiet hour would.
func TestPinnedAdapterIsLoadedBeforeItIsAskedFor(t *testing.T) {
	s := booted(2, 4, tune.Default())
	serve(s, "a1", "red", 0)
	serve(s, "a2", "blue", time.Second)
	s.Copies(map[string]int{"red@1": 1, "blue@1": 1})
	s.Keep(map[string]bool{"sundown@1": true, "elsewhere@1": false})
	unloads := kinds(s.Tick(at(3*time.Second)), order.Unload)
	if got, want := len(unloads), 1; got != want {
		t.Fatalf("unloads to make room: got %d, want %d", got, want)
	}
	loads := kinds(s.Unloaded(at(4*time.Second), unloads[0].Model, nil), order.Load)
	if len(loads) != 1 || loads[0].Model != "sundown@1" {
		t.Fatalf("loads after the unload: got %v, want one of sundown@1", loads)
	}
	s.Loaded(at(5*time.Second), "sundown@1", nil)
	s.Copies(map[string]int{"sundown@1": 1, "red@1": 1})
	left := "red@1"
	if unloads[0].Model == left {
		left = "blue@1"
	}
	unloads = kinds(s.Submit(at(time.Hour), ask("a3", "green")), order.Unload)
	if len(unloads) != 1 || unloads[0].Model != left {
		t.Errorf("unloads for another adapter: got %v, want %s", unloads, left)
	}
}

// Where every slot holds the last copy of a pinned adapter, a request for another adapter is still served: a pin that
// kept it out would have the request refused although a slot is idle.
func TestPinnedAdapterGivesWayWhereNothingElseCan(t *testing.T) {
	s := booted(1, 4, tune.Default())
	serve(s, "a1", "red", 0)
	s.Copies(map[string]int{"red@1": 1})
	s.Keep(map[string]bool{"red@1": true})
	if got, want := len(kinds(s.Submit(at(time.Minute), ask("a2", "blue")), order.Unload)), 1; got != want {
		t.Errorf("unloads: got %d, want %d", got, want)
	}
}

// serve has one request for an adapter loaded, started and finished.
func serve(s *sched.Sched, attempt, adapter string, when time.Duration) {
	s.Submit(at(when), ask(attempt, adapter))
	s.Loaded(at(when), adapter+"@1", nil)
	s.Finish(at(when), attempt, 10)
}
