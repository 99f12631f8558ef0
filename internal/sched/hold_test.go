package sched_test

import (
	"testing"
	"time"

	"damaskreach/internal/order"
	"damaskreach/internal/tune"
)

// After a takeover nothing may be unloaded until the earlier owner is known to have stopped. If the digest named idle
// models in the meantime, homes would send requests that need an unload to this runner, and their callers would wait
// for the end of the hold while other runners have room.
func TestHeldRunnerOffersNoIdleModel(t *testing.T) {
	s := booted(1, 4, tune.Default())
	s.Submit(at(0), ask("a1", "red"))
	s.Loaded(at(time.Second), "red@1", nil)
	s.Finish(at(2*time.Second), "a1", 10)
	s.Hold(true)
	if got, want := s.Digest(at(3*time.Second)).Idle, 0; got != want {
		t.Errorf("idle models under a hold: got %d, want %d", got, want)
	}
	if got, want := len(kinds(s.Submit(at(3*time.Second), ask("a2", "blue")), order.Unload)), 0; got != want {
		t.Errorf("unloads under a hold: got %d, want %d", got, want)
	}
	if got, want := len(kinds(s.Hold(false), order.Unload)), 1; got != want {
		t.Errorf("unloads after the hold: got %d, want %d", got, want)
	}
}
