package sched_test

import (
	"flag"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"damaskreach/internal/order"
)

// The seed is fixed so that every run tries the same sequences; -rapid.seed tries others.
func init() {
	if err := flag.Set("rapid.seed", "20260302"); err != nil {
		panic(err)
	}
}

// Any event may come at any moment. An order that breaks a rule would reach callers as an answer of the wrong
// adapter, a stream cut off by an unload, a request that ran twice, or one that never got an answer.
func TestEveryOrderKeepsTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReferee(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			r.act()
		}
		r.settle()
	})
}

// Decisions that depend on the order of a map cannot be replayed, and an operator who asks why one was taken
// gets the reasons of another.
func TestEqualEventsGiveEqualOrders(t *testing.T) {
	run := func(seed int) []order.Order {
		var log []order.Order
		sample := rapid.Custom(func(t *rapid.T) []order.Order {
			r := newReferee(t)
			for range 150 {
				r.act()
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
