//go:build !race

package edge_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// scaleHosts, scaleEngines are a site's hosts and engines before some are added, and scaleAdded those.
	scaleHosts, scaleEngines, scaleAdded = 6, 8, 4
	// scaleAdapters are asked for, the first one most.
	scaleAdapters = 30
	// takesWork is within which an added engine has work: the base models come from the weight store one after the other at first.
	takesWork = 4 * time.Second
	// onItsWay is how long after its host knew better a request may reach an engine: the way there.
	onItsWay = 5 * time.Millisecond
	// longestWait is for how long a caller may wait to be refused: seven tenths of the 2.4 s that callers wait for the first event, and the
	// shortest wait for a turn (50 ms) that a host may ask for just before.
	longestWait = 1750 * time.Millisecond
	// rush is how many loads at once make each take half as long again.
	rush = farmLoads * 3 / 2
)

// Engines come, empty, to a site that is asked for more than its engines can do. They must have work within seconds and the adapters in demand,
// while those who wait already are served: a rush of loads at the new ones would hold them up, and engines that nobody chooses help nobody.
func TestAddedEnginesTakeWorkAndStarveNobody(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFarm(t, scaleHosts, scaleEngines, unlimited)
				ctx, cancel := context.WithCancel(t.Context())
				t.Cleanup(cancel)
				f.demand(ctx, seed, "red", 66, scaleAdapters)
				time.Sleep(8 * time.Second)
				added := time.Now()
				for i := range scaleAdded {
					f.addEngine(fmt.Sprint("new", i), false)
				}
				time.Sleep(12 * time.Second)
				cancel()
				time.Sleep(4 * time.Second)
				f.wantWork(added)
			})
		})
	}
}

// wantWork checks what engines that were added at a time did, and what became of callers.
func (f *farm) wantWork(added time.Time) {
	f.t.Helper()
	before, during := f.span(added.Add(-takesWork), added), f.span(added, added.Add(takesWork))
	after := f.span(added.Add(takesWork), added.Add(3*takesWork))
	f.t.Logf("before: %v", before)
	f.t.Logf("while they begin: %v", during)
	f.t.Logf("then: %v", after)
	mean, turnover := 0, 0
	for _, n := range after.runs {
		mean += n
	}
	mean /= scaleEngines + scaleAdded
	usual, _ := f.loadsIn(added.Add(-takesWork), added)
	for _, n := range usual {
		turnover = max(turnover, n)
	}
	loads, atOnce := f.loadsIn(added, added.Add(takesWork))
	f.t.Logf("loads before %v, while they begin %v, %d at once", usual, loads, atOnce)
	if atOnce > rush {
		f.t.Errorf("%d loads were on their way from the weight store at once, want %d at most: each of them took that much longer", atOnce, rush)
	}
	for i := range scaleAdded {
		id := fmt.Sprint("new", i)
		if during.runs[id] == 0 {
			f.t.Errorf("%s has run nothing within %v", id, takesWork)
		}
		if after.runs[id] < mean/2 {
			f.t.Errorf("%s ran %d requests then, want half of the mean of %d at least", id, after.runs[id], mean)
		}
		if most := farmPlaces + turnover; loads[id] > most {
			f.t.Errorf("%s was ordered to load %d adapters, want %d at most: its places, and what another engine was ordered in as long", id, loads[id], most)
		}
	}
	if during.refused > before.refused {
		f.t.Errorf("%d requests were refused while the new engines began, want no more than the %d of as long before", during.refused, before.refused)
	}
	if 10*after.inTime < 9*after.asked {
		f.t.Errorf("%d of %d requests were in time then, want nine tenths", after.inTime, after.asked)
	}
	if f.ran("new", "m/a0") == 0 {
		f.t.Error("no new engine ran a request for the adapter most in demand")
	}
	f.wantWhole()
}

// loadsIn returns how many loads of adapters each engine was ordered between two times, and the most on their way from the store at once.
func (f *farm) loadsIn(from, to time.Time) (loads map[string]int, atOnce int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads = map[string]int{}
	for _, l := range f.loads {
		if !l.at.Before(from) && l.at.Before(to) {
			loads[l.engine]++
			atOnce = max(atOnce, l.beside+1)
		}
	}
	return loads, atOnce
}

// ran returns how many requests for an adapter ran at engines whose ids begin so.
func (f *farm) ran(begins, adapter string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.came {
		if c.ran && c.adapter == adapter && strings.HasPrefix(c.engine, begins) {
			n++
		}
	}
	return n
}

// wantWhole checks that each request was answered whole, or refused soon and truly: what was refused as not run ran nowhere.
func (f *farm) wantWhole() {
	f.t.Helper()
	all := f.span(f.begun, time.Now())
	f.t.Logf("all: %v", all)
	if all.broken > 0 {
		f.t.Errorf("%d of %d requests were neither answered whole nor refused", all.broken, all.asked)
	}
	if all.longest > longestWait {
		f.t.Errorf("a caller waited %v to be refused, want %v at most", all.longest, longestWait)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	ran := map[string]string{}
	for _, c := range f.came {
		if c.ran {
			ran[c.id] = c.engine
		}
	}
	for _, s := range f.streamed {
		if at, ok := ran[s.id]; ok && s.refused() {
			f.t.Errorf("request %s was refused as not run, and ran at %s", s.id, at)
		}
	}
}

// A third of the engines are taken away one after the other, and the others are near full in the end. Streams there must end, and whoever waits
// there must be served elsewhere or told: sent to one that leaves, a request ends with it.
func TestEnginesAreTakenAwayWithOthersNearFull(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFarm(t, scaleHosts, scaleEngines+scaleAdded, unlimited)
				ctx, cancel := context.WithCancel(t.Context())
				t.Cleanup(cancel)
				f.demand(ctx, seed, "red", 58, scaleAdapters)
				time.Sleep(6 * time.Second)
				for i := range scaleAdded {
					f.remove(fmt.Sprint("e", i))
					time.Sleep(1500 * time.Millisecond)
				}
				time.Sleep(2 * drain)
				cancel()
				time.Sleep(4 * time.Second)
				f.wantLeft()
				f.wantWhole()
			})
		})
	}
}

// wantLeft checks that no request reached an engine from a host that knew that it leaves.
func (f *farm) wantLeft() {
	f.t.Helper()
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range scaleAdded {
		if got, want := len(f.knew[fmt.Sprint("e", i)]), scaleHosts; got != want {
			f.t.Errorf("%d hosts knew that e%d leaves, want %d", got, i, want)
		}
	}
	for _, c := range f.came {
		knew := f.knew[c.engine][c.host]
		if late := c.at.Sub(knew); !knew.IsZero() && late > onItsWay {
			f.t.Errorf("a request came to %s from %s %v after that host knew that it leaves", c.engine, c.host, late)
		}
	}
}
