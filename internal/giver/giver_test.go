package giver_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/turns"
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
			if err := admit(t, g, name(i)); err != nil {
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
					g.Used("e", []string{name(0), name(1)}, time.Now())
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
				g.Used("e", []string{name(0)}, time.Now())
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
