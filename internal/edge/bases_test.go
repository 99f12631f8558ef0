//go:build !race

package edge_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// never is long after the end of a test.
	never = time.Hour
	// manyBases is more than there are engines to load base models to.
	manyBases = 100
	// basesAtFirst is how many loads may begin before any has ended.
	basesAtFirst = 4
	// rateSlack is how many loads more than its rate a store allows at any time.
	rateSlack = 3
	// baseStep is how often it is looked at how far loads of base models have come.
	baseStep = 10 * time.Millisecond
	// wayTakes is how long a base model takes where the time between two loads is to be short beside it.
	wayTakes = 4 * time.Second
)

// weights is the store that base models come from. It serves some loads at full speed, and more share that.
type weights struct {
	takes time.Duration // for one load at full speed
	fast  int
	rate  float64 // loads a second that it allows; 0 means any
	now   int     // on their way
	loads []baseLoad
}

// baseLoad is one load of a base model, with the most that were on their way at once meanwhile.
type baseLoad struct {
	began, ended time.Time
	most         int
}

// loadBase has the base model come to an engine.
func (f *farm) loadBase(id string) {
	f.mu.Lock()
	f.weights.now++
	one := len(f.weights.loads)
	f.weights.loads = append(f.weights.loads, baseLoad{began: time.Now()})
	f.mu.Unlock()
	for left := f.weights.takes; left > 0 && f.ctx.Err() == nil; time.Sleep(baseStep) {
		f.mu.Lock()
		left -= baseStep * time.Duration(min(f.weights.fast, f.weights.now)) / time.Duration(f.weights.now)
		f.weights.loads[one].most = max(f.weights.loads[one].most, f.weights.now)
		f.mu.Unlock()
	}
	f.mu.Lock()
	f.weights.now--
	f.weights.loads[one].ended = time.Now()
	f.engines[id].there[""] = f.weights.loads[one].ended
	f.mu.Unlock()
	f.tell(id)
}

// A host that waits for its turn among all hosts, most of which have no engine to load a base model to, waits for nobody.
func TestBaseModelsOfFewAddedEnginesAreLoadedSoonWithManyHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFarm(t, 4*scaleHosts, scaleEngines, unlimited)
		f.addEmpty(scaleAdded)
		time.Sleep(takesWork)
		f.wantBases(scaleAdded, takesWork)
	})
}

// A host learns from its own loads alone how many are as fast at once, and on a site of many hosts, each with few engines, none ever learns it.
func TestBaseModelsOfManyAddedEnginesAreLoadedSoon(t *testing.T) {
	for _, fast := range []int{2 * scaleHosts, 8} {
		t.Run(fmt.Sprint(fast), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFarmOf(t, scaleHosts, scaleEngines, unlimited, weights{takes: baseTakes, fast: fast})
				f.addEmpty(2 * scaleHosts)
				time.Sleep(takesWork)
				f.wantBases(2*scaleHosts, takesWork)
			})
		})
	}
}

// Where the weight store serves one load at full speed, engines that load their base models at once are all ready when the last one could be.
func TestBaseModelsThatShareOneWayAreLoadedInTurn(t *testing.T) {
	for _, hosts := range []int{scaleHosts, 4 * scaleHosts} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const added = 2 * scaleHosts
				f := newFarmOf(t, hosts, scaleEngines, unlimited, weights{takes: wayTakes, fast: 1})
				f.addEmpty(added)
				time.Sleep(2 * added * wayTakes)
				mean := f.wantBases(added, 2*added*wayTakes)
				if inTurn := wayTakes * (added + 1) / 2; mean > inTurn*5/4 {
					t.Errorf("engines had their base models after %v in the mean, want a quarter over the %v of strictly in turn at most", mean, inTurn)
				}
				f.wantInTurn()
			})
		})
	}
}

// The weight store serves many at full speed and allows few a second. Each host keeps to its part of that, which is a load at least, and all of
// them together begin too many.
func TestBaseModelsKeepTheRateOfTheirStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, span = 1.0, 5 * time.Second // the time over which hosts of a fleet count loads
		f := newFarmOf(t, 10*scaleHosts, scaleEngines, unlimited, weights{takes: baseTakes, fast: manyBases, rate: rate})
		f.addEmpty(10 * scaleHosts)
		time.Sleep(30 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		most := 0
		for i, first := range f.weights.loads {
			n := 0
			for _, l := range f.weights.loads[i:] {
				if l.began.Sub(first.began) < span {
					n++
				}
			}
			most = max(most, n)
		}
		t.Logf("%d loads in 30 s, %d in %v at most", len(f.weights.loads), most, span)
		if want := int(rate*span.Seconds()) + rateSlack; most > want {
			t.Errorf("%d loads began within %v, want %d at most", most, span, want)
		}
	})
}

// Hosts that find engines without their base model at the same moment know of no load of another host. Did each begin one, the first would be
// ready as late as all of them.
func TestHostsThatFindEnginesAtOnceDoNotAllLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFarmOf(t, scaleHosts, scaleEngines, unlimited, weights{takes: wayTakes, fast: 1})
		f.addEmpty(4 * scaleHosts)
		time.Sleep(wayTakes)
		f.mu.Lock()
		defer f.mu.Unlock()
		if got, want := len(f.weights.loads), basesAtFirst; got != want {
			t.Errorf("%d loads began before any ended, want %d", got, want)
		}
	})
}

// wantInTurn checks that once hosts can know that loads are slow beside each other, hardly any are.
func (f *farm) wantInTurn() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	var known time.Time
	for _, l := range f.weights.loads {
		if known.IsZero() && l.most > f.weights.fast {
			known = l.ended.Add(time.Second)
		}
		if !known.IsZero() && l.began.After(known) && l.most > 2 {
			f.t.Errorf("a load was beside %d others, %v after hosts could know better, want one at most", l.most-1, l.began.Sub(known))
		}
	}
	if known.IsZero() {
		f.t.Error("no load was beside others, want some to learn from")
	}
}

// addEmpty adds engines that hold nothing.
func (f *farm) addEmpty(count int) {
	f.added = time.Now()
	for i := range count {
		f.addEngine(fmt.Sprint("new", i), false)
	}
}

// wantBases checks that all engines that were added hold their base model, each within a bound, and returns the mean time.
func (f *farm) wantBases(count int, bound time.Duration) (mean time.Duration) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range count {
		id := fmt.Sprint("new", i)
		at, ok := f.engines[id].there[""]
		after := at.Sub(f.added)
		if !ok || after > bound {
			f.t.Errorf("%s has no base model within %v", id, bound)
			continue
		}
		mean += after / time.Duration(count)
		f.t.Logf("%s had its base model %v after it came", id, after)
	}
	var most []int
	for _, l := range f.weights.loads {
		most = append(most, l.most)
	}
	f.t.Logf("%v in the mean, at once %v", mean, most)
	return mean
}
