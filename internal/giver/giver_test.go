package giver_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/giver"
	"damaskreach/internal/turns"
	"damaskreach/internal/usage"
	"damaskreach/internal/want"
)

// An engine's places are all taken and one adapter after the other is asked for. Each load needs one unload before it; were
// an unload not counted as the engine counts it, the load behind it would be refused and a report asked for each time, and
// callers would wait for two tenths of a second more.
func TestLoadsBehindUnloadsNeedNoSecondTry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(3)
		g := desk(t, e)
		for i := range 8 {
			began := time.Now()
			if err := admit(t, g, name(i)); err != nil {
				t.Fatalf("load %d: %v, want none", i, err)
			}
			if got, most := time.Since(began), loadTime+100*time.Millisecond; got > most {
				t.Errorf("load %d took %v, want at most %v", i, got, most)
			}
			time.Sleep(time.Second)
		}
		if e.crashed {
			t.Error("the engine was overfilled")
		}
	})
}

// A third of the orders get no answer; some of them are carried out at once and some seconds later, after newer ones. An
// order giver that takes such an order for lost, or for done, overfills the engine, which crashes and comes back empty.
func TestUnansweredOrdersNeverOverfill(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 7))
			e := newEngine(5)
			var mu sync.Mutex
			e.lose = func(int) (bool, time.Duration) {
				mu.Lock()
				defer mu.Unlock()
				if r.Float64() > 0.35 {
					return false, 0
				}
				if r.Float64() < 0.5 {
					return true, 0
				}
				return true, time.Duration(2+10*r.Float64()) * time.Second
			}
			g := desk(t, e)
			served := 0
			for range 40 {
				if admit(t, g, name(r.IntN(12))) == nil {
					served++
				}
				time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.crashed {
				t.Errorf("seed %d: the engine was overfilled", seed)
			}
			if served < 30 {
				t.Errorf("seed %d: loads served = %d of 40, want at least 30", seed, served)
			}
		})
	}
}

// All places hold adapters that requests use. An unload would wait for those requests, and the engine takes no other order
// meanwhile; so none is given, and the load is refused for the caller to be sent elsewhere.
func TestAdaptersInUseAreNotUnloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(2)
		g := desk(t, e)
		for i := range 2 {
			if err := send(t, g, name(i)); err != nil {
				t.Fatalf("load %d: %v, want none", i, err)
			}
			e.using[name(i)] = true
		}
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
					g.Take([]usage.Usage{{Host: "h", Engine: "e", Running: 2, Adapters: []string{name(0), name(1)}}}, time.Now())
				}
			}
		}()
		orders := e.orders
		if err := admit(t, g, name(2)); err == nil {
			t.Error("the load was served, want it refused")
		}
		close(stop)
		if got, want := e.orders, orders; got != want {
			t.Errorf("orders = %d, want %d: no unload", got, want)
		}
	})
}

// send asks for an adapter and for the turn of a prompt, as a host does that sends the request then.
func send(t *testing.T, g *giver.Giver, adapter string) error {
	return g.Admit(t.Context(), want.Want{ID: "e", Host: "h", Model: "m", Adapter: adapter, Cost: time.Millisecond})
}

// All places of an engine are taken by adapters in use, and a busy adapter that others hold already is to come to it too, for
// nobody in particular. Given a place, it would push out an adapter whose next caller then waits for a load.
func TestSpreadingTakesNoPlaceThatIsInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(3)
		g := desk(t, e)
		for i := range 3 {
			if err := admit(t, g, name(i)); err != nil {
				t.Fatalf("load %d: %v, want none", i, err)
			}
		}
		spread := want.Want{ID: "e", Model: "m", Adapter: name(9), Spread: true}
		time.Sleep(2 * time.Second)
		if err := g.Admit(t.Context(), spread); !errors.Is(err, want.ErrBusy) {
			t.Errorf("spread 2 s after the last use: %v, want %v", err, want.ErrBusy)
		}
		time.Sleep(10 * time.Second)
		if err := g.Admit(t.Context(), spread); err != nil {
			t.Errorf("spread 12 s after the last use: %v, want none", err)
		}
	})
}

// Seventy hosts tell of their requests every 0.75 s. An adapter in use must not count as unused between two messages: its
// unload would wait for the request, and the engine take no other unload until that has ended.
func TestAdaptersInUseAreNotUnloadedWhereHostsTellRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(1)
		e.told = 750 * time.Millisecond
		g := desk(t, e)
		if err := admit(t, g, name(0)); err != nil {
			t.Fatalf("load: %v, want none", err)
		}
		e.using[name(0)] = true
		ctx, stop := context.WithCancel(t.Context())
		go func() {
			for range turns.Every(ctx, e.told) {
				g.Take([]usage.Usage{{Host: "h", Engine: "e", Running: 1, Adapters: []string{name(0)}}}, time.Now())
			}
		}()
		orders := e.orders
		if err := admit(t, g, name(1)); err == nil {
			t.Error("the load was served, want it refused")
		}
		stop()
		if got, want := e.orders, orders; got != want {
			t.Errorf("orders = %d, want %d: no unload", got, want)
		}
	})
}

// All places of an engine are taken, and the requests that used them have ended a moment ago, as their hosts say. A request that waits
// for another adapter must get a place at once: where a place stays blocked for some time after each use, an engine with few of
// them serves fewer adapters, and callers wait for places that nobody uses.
func TestPlaceIsFreeOnceItsRequestsHaveEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(1)
		e.told = 600 * time.Millisecond
		g := desk(t, e)
		if err := admit(t, g, name(0)); err != nil {
			t.Fatalf("load: %v, want none", err)
		}
		tell := func(running int, adapters ...string) {
			g.Take([]usage.Usage{{Host: "h", Engine: "e", Running: running, Adapters: adapters}}, time.Now())
		}
		for range 40 {
			tell(1, name(0))
			time.Sleep(100 * time.Millisecond)
		}
		tell(0)
		began := time.Now()
		if err := admit(t, g, name(1)); err != nil {
			t.Fatalf("load: %v, want none", err)
		}
		if got, want := time.Since(began), loadTime+300*time.Millisecond; got > want {
			t.Errorf("served after %v, want %v at most", got, want)
		}
	})
}

// A request was granted its turn just before its host counted its requests, and is not in that count. Its adapter must not be taken for
// unused: the request would find it gone, or the unload wait for the request.
func TestAdapterOfAGrantUnderWayIsNotUnloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(1)
		g := desk(t, e)
		time.Sleep(5 * time.Second)
		if err := send(t, g, name(0)); err != nil {
			t.Fatalf("load: %v, want none", err)
		}
		e.using[name(0)] = true
		time.Sleep(50 * time.Millisecond)
		g.Take([]usage.Usage{{Host: "h", Engine: "e"}}, time.Now())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		orders := e.orders
		if err := g.Admit(ctx, want.Want{ID: "e", Host: "g", Model: "m", Adapter: name(1), Cost: time.Millisecond}); err == nil {
			t.Error("the load was served, want it to wait")
		}
		if got, want := e.orders, orders; got != want {
			t.Errorf("orders = %d, want %d: no unload", got, want)
		}
	})
}

// An engine tells the host that orders it that it leaves, before its registration does. Hosts that have not heard of it yet still ask for loads.
func TestEngineThatSaysItLeavesGetsNoMoreLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(4)
		g := desk(t, e)
		e.leaves.Store(true)
		before := e.orders
		if err := admit(t, g, name(0)); !errors.Is(err, want.ErrLeaves) {
			t.Errorf("a load = %v, want %v", err, want.ErrLeaves)
		}
		if got := e.orders; got != before {
			t.Errorf("%d orders to an engine that leaves, want none", got-before)
		}
	})
}
