package giver_test

import (
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/memo"
)

// full returns an engine whose places all hold adapters that were loaded before this host came.
func full(places int) *engine {
	e := newEngine(places)
	for i := range places {
		e.held[name(i)] = 1
	}
	e.note()
	return e
}

// All hosts have lost power and come back. An engine holds what it held, requests of other hosts use most of it already, and this
// host has heard of none of them. If the first load pushes out an adapter in use, the engine takes no other unload until that
// request has ended, and everybody whose adapter is not there is refused for seconds.
func TestFirstLoadAfterATakeoverPushesOutNothingInUse(t *testing.T) {
	for seed := range 10 {
		synctest.Test(t, func(t *testing.T) {
			const places = 6
			e := full(places)
			e.at[len(e.at)-1] = time.Now().Add(-time.Minute)
			for i := range places {
				e.using[name(i)] = i != seed%places
			}
			g := start(t, e)
			go func() {
				for range 10 {
					time.Sleep(200 * time.Millisecond) // as often as hosts tell
					for i := range places {
						if e.using[name(i)] {
							g.Used("e", []string{name(i)}, time.Now())
						}
					}
				}
			}()
			if err := admit(t, g, name(places)); err != nil {
				t.Errorf("load: %v, want none", err)
			}
			if got := e.inUse; got != 0 {
				t.Errorf("unloads of adapters in use = %d, want none", got)
			}
			time.Sleep(3 * time.Second)
		})
	}
}

// A host ends and another one takes its engine. The adapter that nobody has asked for for the longest time must go first: the new
// host has not seen any of them used, and the busiest one is as likely to go by chance, to be loaded again at once.
func TestTakeoverKeepsTheBusyAdapters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const places = 6
		e := full(places)
		e.at[len(e.at)-1] = time.Now().Add(-time.Minute)
		e.memo = &memo.Memo{Born: 1, Names: []string{name(3), name(0), name(5), name(2), name(4), name(1)}}
		g := start(t, e)
		for i, idle := range []int{1, 4, 2} {
			if err := admit(t, g, name(places+i)); err != nil {
				t.Fatalf("load %d: %v, want none", i, err)
			}
			if _, ok := e.held[name(idle)]; ok {
				t.Errorf("after %d loads the engine holds %s, want it gone: it was used the least", i+1, name(idle))
			}
		}
	})
}

// An engine keeps the weights of adapters that it held lately and loads them in a tenth of the time, without the weight store. A host
// that has just taken it must know which, or such a load waits behind the bound of the store and is looked at too late.
func TestTakeoverKnowsWhatIsAtHand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(6)
		e.quick = map[string]bool{name(1): true}
		e.memo = &memo.Memo{Born: 1, Names: []string{name(1)}}
		g := start(t, e)
		begun := time.Now()
		if err := admit(t, g, name(1)); err != nil {
			t.Fatalf("load: %v, want none", err)
		}
		if got, most := time.Since(begun), 2*quickTime; got > most {
			t.Errorf("the load took %v, want at most %v", got, most)
		}
	})
}

// What was kept is of an earlier incarnation of the engine: it holds and knows nothing of it any more.
func TestTakeoverForgetsAnEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(6)
		e.memo = &memo.Memo{Born: 0, Names: []string{name(1)}}
		g := start(t, e)
		if err := admit(t, g, name(2)); err != nil {
			t.Fatalf("load: %v, want none", err)
		}
		time.Sleep(2 * time.Second)
		if got, want := g.Memos()["e"].Names, name(2); len(got) != 1 || got[0] != want {
			t.Errorf("kept names = %v, want %s alone", got, want)
		}
	})
}

// A host runs for weeks and every adapter of the site comes by. What it keeps of an engine must not grow with that: it is sorted each
// second, and an engine has the weights of the newest at hand alone.
func TestWhatIsKeptOfAnEngineIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(4)
		g := desk(t, e)
		for i := range 450 {
			if err := admit(t, g, name(i)); err != nil {
				t.Fatalf("load %d: %v, want none", i, err)
			}
			time.Sleep(600 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		names := g.Memos()["e"].Names
		if got, want := len(names), 100; got != want {
			t.Errorf("names kept = %d, want %d", got, want)
		}
		if got, want := names[0], name(449); got != want {
			t.Errorf("first name = %s, want %s: it was used last", got, want)
		}
	})
}
