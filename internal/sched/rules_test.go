package sched_test

import (
	"flag"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"damaskreach/internal/order"
)

// The seed is fixed so that all runs try the same sequences; -rapid.seed tries others.
func init() {
	if err := flag.Set("rapid.seed", "20260302"); err != nil {
		panic(err)
	}
}

// Any event may come at any time. An order that violates an invariant leads to an answer of the wrong adapter, a stream cut off by
// an unload, a request that runs twice, or one without an answer.
func TestOrdersKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newChecker(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			r.step()
		}
		r.drainQueue()
	})
}

// Decisions that depend on the map order cannot be replayed, and would show an operator the reasons of others.
func TestOrdersAreDeterministic(t *testing.T) {
	run := func(seed int) []order.Order {
		var log []order.Order
		sample := rapid.Custom(func(t *rapid.T) []order.Order {
			r := newChecker(t)
			for range 150 {
				r.step()
			}
			return r.log
		})
		log = sample.Example(seed)
		return log
	}
	for seed := range 20 {
		if got, want := run(seed), run(seed); !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d: got %v, want %v", seed, got, want)
		}
	}
}
