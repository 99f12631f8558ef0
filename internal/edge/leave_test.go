//go:build !race

package edge_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// routingReserve is the part of the drain time kept for what a request needs at its host after routing: a connection, or a rejection by
// another upstream first.
const routingReserve = 500 * time.Millisecond

// seeds is the number of random runs of each test; runs by hand use more.
var seeds = flag.Uint64("seeds", 4, "random runs of each test")

// The store refuses a third of the hosts for some seconds; then upstreams begin to leave. Each host must learn of it in time for requests
// in flight to reach the upstream, whichever host reads the store for it.
func TestAllHostsLearnOfLeavingInTime(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 27))
				f := newFleet(t, 24, 4, 112)
				time.Sleep(15 * time.Second)
				f.refuseHosts(rng, 0.35)
				time.Sleep(9 * time.Second)
				f.store.serveAll()
				next := 0
				for range 60 {
					time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
					f.leave(fmt.Sprint("u", next))
					next++
				}
				time.Sleep(drainTime)
				f.wantLeavesLearned(drainTime - routingReserve)
			})
		})
	}
}

// Upstreams begin to leave while the store refuses some hosts, leaves them without an answer, or is slow to all, in turn. Hosts that it
// serves must learn in time whichever host read for them before, and so must those that hear of it only from others.
func TestHostsLearnOfLeavingDuringStoreFaults(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 28))
				f := newFleet(t, 24, 4, 112)
				time.Sleep(15 * time.Second)
				next := 0
				for range 4 {
					f.store.setFaults(rng.IntN(2) == 0, time.Duration(rng.IntN(2))*200*time.Millisecond)
					f.refuseHosts(rng, 0.1+0.3*rng.Float64())
					for range 10 {
						time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
						f.leave(fmt.Sprint("u", next))
						next++
					}
					f.store.serveAll()
					time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
				}
				time.Sleep(drainTime)
				f.wantLeavesLearned(drainTime - routingReserve)
			})
		})
	}
}

// The store drops its history now and then while upstreams vanish without notice. Hosts that read notice what a full list lacks, and must
// tell the others.
func TestAllHostsLearnOfVanishedUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 27))
		f := newFleet(t, 24, 4, 112)
		time.Sleep(15 * time.Second)
		for next := range 30 {
			time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
			f.vanish(fmt.Sprint("u", next))
			if next%5 == 0 {
				f.store.compact()
			}
		}
		time.Sleep(drainTime)
		f.wantLeavesLearned(drainTime - routingReserve)
	})
}
