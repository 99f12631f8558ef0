//go:build !race

package edge_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// atHost is what must be left of the time until an upstream that leaves may get no new work, for what a request takes at its host
// after the choice: a connection, or another upstream that rejects it first.
const atHost = 500 * time.Millisecond

// The store turns a third of the hosts away for some seconds; before, meanwhile and after, upstreams begin to leave. Each host must
// learn of it while requests that are under way to the upstream still reach it in time, whoever reads the store for it.
func TestLeavingIsKnownEverywhereInTime(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				luck := rand.New(rand.NewPCG(seed, 27))
				f := newFleet(t, 24, 4, 112)
				time.Sleep(15 * time.Second)
				f.turnAway(luck, 0.35)
				time.Sleep(9 * time.Second)
				f.store.serve()
				next := 0
				for range 60 {
					time.Sleep(time.Duration(luck.IntN(500)) * time.Millisecond)
					f.leave(fmt.Sprint("u", next))
					next++
				}
				time.Sleep(drain)
				f.wantKnown(drain - atHost)
			})
		})
	}
}

// The store forgets its history now and then while upstreams vanish without a word. The hosts that read find out from what a list of all
// registrations lacks, and must tell the others.
func TestVanishingIsKnownEverywhereInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		luck := rand.New(rand.NewPCG(1, 27))
		f := newFleet(t, 24, 4, 112)
		time.Sleep(15 * time.Second)
		for next := range 30 {
			time.Sleep(time.Duration(luck.IntN(800)) * time.Millisecond)
			f.vanish(fmt.Sprint("u", next))
			if next%5 == 0 {
				f.store.forget()
			}
		}
		time.Sleep(drain)
		f.wantKnown(drain - atHost)
	})
}
