package loader_test

import (
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/memo"
)

// newFullEngine returns an engine whose places hold adapters that were loaded before the loader started.
func newFullEngine(places int) *engine {
	e := newEngine(places)
	for i := range places {
		e.held[adapterName(i)] = 1
	}
	e.recordState()
	return e
}

// After a power loss of all hosts the engines still hold their adapters, and this host knows none of the requests that use them.
// If its first load evicts an adapter in use, the engine blocks all unloads and requests are refused for seconds.
func TestFirstLoadAfterTakeoverEvictsNothingInUse(t *testing.T) {
	for seed := range 10 {
		synctest.Test(t, func(t *testing.T) {
			const places = 6
			e := newFullEngine(places)
			e.reportTimes[len(e.reportTimes)-1] = time.Now().Add(-time.Minute)
			for i := range places {
				e.activeAdapters[adapterName(i)] = i != seed%places
			}
			l := startLoader(t, e)
			go func() {
				for range 10 {
					time.Sleep(200 * time.Millisecond) // the report interval of hosts
					for i := range places {
						if e.activeAdapters[adapterName(i)] {
							l.MarkUsed("e", []string{adapterName(i)}, time.Now())
						}
					}
				}
			}()
			if err := admit(t, l, adapterName(places)); err != nil {
				t.Errorf("load: %v, want none", err)
			}
			if got := e.unloadsInUse; got != 0 {
				t.Errorf("unloads of adapters in use = %d, want none", got)
			}
			time.Sleep(3 * time.Second)
		})
	}
}

// A host takes over an engine without having seen its adapters in use. If it evicts a busy adapter rather than the least recently
// used, that is loaded again at once.
func TestTakeoverEvictsLeastRecentlyUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const places = 6
		e := newFullEngine(places)
		e.reportTimes[len(e.reportTimes)-1] = time.Now().Add(-time.Minute)
		e.memo = &memo.Memo{Incarnation: 1, Names: []string{adapterName(3), adapterName(0), adapterName(5), adapterName(2), adapterName(4), adapterName(1)}}
		l := startLoader(t, e)
		for i, unused := range []int{1, 4, 2} {
			if err := admit(t, l, adapterName(places+i)); err != nil {
				t.Fatalf("load %d: %v, want none", i, err)
			}
			if _, ok := e.held[adapterName(unused)]; ok {
				t.Errorf("after %d loads the engine holds %s, want it gone: it was used the least", i+1, adapterName(unused))
			}
		}
	})
}

// An engine caches the weights of recent adapters and loads these in a tenth of the time. A host that takes over and does not know
// them makes such loads wait for the weight store limit and polls them too late.
func TestTakeoverKnowsCachedAdapters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(6)
		e.cached = map[string]bool{adapterName(1): true}
		e.memo = &memo.Memo{Incarnation: 1, Names: []string{adapterName(1)}}
		l := startLoader(t, e)
		begun := time.Now()
		if err := admit(t, l, adapterName(1)); err != nil {
			t.Fatalf("load: %v, want none", err)
		}
		if got, maxTime := time.Since(begun), 2*cachedLoadTime; got > maxTime {
			t.Errorf("the load took %v, want at most %v", got, maxTime)
		}
	})
}

// The memo is of an earlier incarnation of the engine, whose adapters and cache are gone.
func TestTakeoverIgnoresMemoOfAnEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(6)
		e.memo = &memo.Memo{Incarnation: 0, Names: []string{adapterName(1)}}
		l := startLoader(t, e)
		if err := admit(t, l, adapterName(2)); err != nil {
			t.Fatalf("load: %v, want none", err)
		}
		time.Sleep(2 * time.Second)
		if got, want := l.Memos()["e"].Names, adapterName(2); len(got) != 1 || got[0] != want {
			t.Errorf("memo names = %v, want %s alone", got, want)
		}
	})
}

// A host runs for weeks and sees every adapter of the site. The memo of an engine is sorted each second and must not grow with
// that; an engine caches only the newest adapters.
func TestMemoIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(4)
		l := startReady(t, e)
		for i := range 450 {
			if err := admit(t, l, adapterName(i)); err != nil {
				t.Fatalf("load %d: %v, want none", i, err)
			}
			time.Sleep(600 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		names := l.Memos()["e"].Names
		if got, want := len(names), 100; got != want {
			t.Errorf("memo names = %d, want %d", got, want)
		}
		if got, want := names[0], adapterName(449); got != want {
			t.Errorf("first name = %s, want %s: it was used last", got, want)
		}
	})
}
