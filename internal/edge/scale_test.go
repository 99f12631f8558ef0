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
	// A site has scaleHosts hosts and scaleEngines engines, and scaleAdded engines are added or removed.
	scaleHosts, scaleEngines, scaleAdded = 6, 8, 4
	// scaleAdapters is how many adapters are asked for, the first one most often.
	scaleAdapters = 30
	// newEngineTime is the time within which an added engine has work: at first the weight store sends base models one after the other.
	newEngineTime = 4 * time.Second
	// transitTime is how long after its host learned that an engine leaves a request may still reach it.
	transitTime = 5 * time.Millisecond
	// maxRefusalWait is how long a caller may wait to be refused: seven tenths of the 2.4 s that callers wait for the first event, and the
	// shortest wait for a turn (50 ms) that a host may ask for just before.
	maxRefusalWait = 1750 * time.Millisecond
	// maxParallelLoads is how many parallel loads make each take half as long again.
	maxParallelLoads = parallelLoads * 3 / 2
)

// Empty engines join a site that is asked for more than it can do. They must have work and the adapters in demand within seconds, while
// waiting requests are served: many loads at once would delay these, and engines that get no requests help nobody.
func TestAddedEnginesTakeWorkAndStarveNobody(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFarm(t, scaleHosts, scaleEngines, unlimitedTeams)
				ctx, cancel := context.WithCancel(t.Context())
				t.Cleanup(cancel)
				f.generateDemand(ctx, seed, "red", 66, scaleAdapters)
				time.Sleep(8 * time.Second)
				added := time.Now()
				for i := range scaleAdded {
					f.addEngine(fmt.Sprint("new", i), false)
				}
				time.Sleep(12 * time.Second)
				cancel()
				time.Sleep(4 * time.Second)
				f.wantNewEnginesUsed(added)
			})
		})
	}
}

// wantNewEnginesUsed checks what engines added at a time did, and how callers were served.
func (f *farm) wantNewEnginesUsed(added time.Time) {
	f.t.Helper()
	before, during := f.outcomeBetween(added.Add(-newEngineTime), added), f.outcomeBetween(added, added.Add(newEngineTime))
	after := f.outcomeBetween(added.Add(newEngineTime), added.Add(3*newEngineTime))
	f.t.Logf("before: %v", before)
	f.t.Logf("while they begin: %v", during)
	f.t.Logf("then: %v", after)
	mean, turnover := 0, 0
	for _, n := range after.runs {
		mean += n
	}
	mean /= scaleEngines + scaleAdded
	usual, _ := f.loadsBetween(added.Add(-newEngineTime), added)
	for _, n := range usual {
		turnover = max(turnover, n)
	}
	loads, atOnce := f.loadsBetween(added, added.Add(newEngineTime))
	f.t.Logf("loads before %v, while they begin %v, %d at once", usual, loads, atOnce)
	if atOnce > maxParallelLoads {
		f.t.Errorf("%d loads from the weight store were under way at once, want %d at most: each of them took that much longer",
			atOnce, maxParallelLoads)
	}
	for i := range scaleAdded {
		id := fmt.Sprint("new", i)
		if during.runs[id] == 0 {
			f.t.Errorf("%s has run nothing within %v", id, newEngineTime)
		}
		if after.runs[id] < mean/2 {
			f.t.Errorf("%s ran %d requests then, want half of the mean of %d at least", id, after.runs[id], mean)
		}
		if allowed := farmPlaces + turnover; loads[id] > allowed {
			f.t.Errorf("%s was ordered to load %d adapters, want %d at most: its places, and the most that another engine loaded in as long",
				id, loads[id], allowed)
		}
	}
	if during.refused > before.refused {
		f.t.Errorf("%d requests were refused while the new engines began, want no more than the %d in as long before",
			during.refused, before.refused)
	}
	if 10*after.inTime < 9*after.asked {
		f.t.Errorf("%d of %d requests were in time then, want nine tenths", after.inTime, after.asked)
	}
	if f.countRuns("new", "m/a0") == 0 {
		f.t.Error("no new engine ran a request for the adapter most in demand")
	}
	f.wantAnsweredOrRefused()
}

// loadsBetween returns how many adapter loads each engine was ordered between two times, and the most that were under way at once.
func (f *farm) loadsBetween(from, to time.Time) (loads map[string]int, atOnce int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads = map[string]int{}
	for _, l := range f.loadOrders {
		if !l.at.Before(from) && l.at.Before(to) {
			loads[l.engine]++
			atOnce = max(atOnce, l.concurrent+1)
		}
	}
	return loads, atOnce
}

// countRuns returns how many requests for an adapter ran at engines whose ids have a prefix.
func (f *farm) countRuns(idPrefix, adapter string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.arrivals {
		if c.ran && c.adapter == adapter && strings.HasPrefix(c.engine, idPrefix) {
			n++
		}
	}
	return n
}

// wantAnsweredOrRefused checks that each request was answered in full, or refused soon, and that none refused as not run ran.
func (f *farm) wantAnsweredOrRefused() {
	f.t.Helper()
	all := f.outcomeBetween(f.startedAt, time.Now())
	f.t.Logf("all: %v", all)
	if all.broken > 0 {
		f.t.Errorf("%d of %d requests were neither answered in full nor refused", all.broken, all.asked)
	}
	if all.longestRefusal > maxRefusalWait {
		f.t.Errorf("a caller waited %v to be refused, want %v at most", all.longestRefusal, maxRefusalWait)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	ran := map[string]string{}
	for _, c := range f.arrivals {
		if c.ran {
			ran[c.id] = c.engine
		}
	}
	for _, s := range f.streams {
		if at, ok := ran[s.id]; ok && s.refused() {
			f.t.Errorf("request %s was refused as not run, but ran at %s", s.id, at)
		}
	}
}

// A third of the engines leave one after the other, until the others are near capacity. Streams there must end, and requests waiting
// there must be served elsewhere or refused: a request sent to a leaving engine ends with it.
func TestEnginesLeaveWhileOthersAreNearlyFull(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFarm(t, scaleHosts, scaleEngines+scaleAdded, unlimitedTeams)
				ctx, cancel := context.WithCancel(t.Context())
				t.Cleanup(cancel)
				f.generateDemand(ctx, seed, "red", 58, scaleAdapters)
				time.Sleep(6 * time.Second)
				for i := range scaleAdded {
					f.startLeaving(fmt.Sprint("e", i))
					time.Sleep(1500 * time.Millisecond)
				}
				time.Sleep(2 * drainTime)
				cancel()
				time.Sleep(4 * time.Second)
				f.wantNoneAfterLeaving()
				f.wantAnsweredOrRefused()
			})
		})
	}
}

// wantNoneAfterLeaving checks that no request reached an engine from a host that knew that it leaves.
func (f *farm) wantNoneAfterLeaving() {
	f.t.Helper()
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range scaleAdded {
		if got, want := len(f.learnedAt[fmt.Sprint("e", i)]), scaleHosts; got != want {
			f.t.Errorf("%d hosts knew that e%d leaves, want %d", got, i, want)
		}
	}
	for _, c := range f.arrivals {
		knew := f.learnedAt[c.engine][c.host]
		if late := c.at.Sub(knew); !knew.IsZero() && late > transitTime {
			f.t.Errorf("a request came to %s from %s %v after that host knew that it leaves", c.engine, c.host, late)
		}
	}
}
