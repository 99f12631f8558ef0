package loader_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/intent"
	"damaskreach/internal/loader"
	"damaskreach/internal/ticker"
	"damaskreach/internal/usage"
)

// On a full engine each load needs an unload first. If the loader does not count the unload as the engine does, the load behind
// it is rejected and needs another report, which costs callers 0.2 s more.
func TestLoadAfterUnloadIsAcceptedFirstTry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(3)
		l := startReady(t, e)
		for i := range 8 {
			began := time.Now()
			if err := admit(t, l, adapterName(i)); err != nil {
				t.Fatalf("load %d: %v, want none", i, err)
			}
			if got, maxTime := time.Since(began), loadTime+100*time.Millisecond; got > maxTime {
				t.Errorf("load %d took %v, want at most %v", i, got, maxTime)
			}
			time.Sleep(time.Second)
		}
		if e.crashed {
			t.Error("the engine was overfilled")
		}
	})
}

// A third of the orders get no answer; some are applied at once, some seconds later after newer ones. A loader that assumes
// either outcome overfills the engine, which crashes and restarts empty.
func TestUnansweredOrdersNeverOverfill(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 7))
			e := newEngine(5)
			var mu sync.Mutex
			e.loseReply = func(int) (bool, time.Duration) {
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
			l := startReady(t, e)
			served := 0
			for range 40 {
				if admit(t, l, adapterName(r.IntN(12))) == nil {
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

// All adapters of an engine are in use. An unload would wait for their requests and block all other orders, so the load must be
// refused instead for the caller to be sent elsewhere.
func TestAdaptersInUseAreNotUnloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(2)
		l := startReady(t, e)
		for i := range 2 {
			if err := admitPrompt(t, l, adapterName(i)); err != nil {
				t.Fatalf("load %d: %v, want none", i, err)
			}
			e.activeAdapters[adapterName(i)] = true
		}
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
					l.RecordUsage([]usage.Usage{{Host: "h", Engine: "e", Running: 2, Adapters: []string{adapterName(0), adapterName(1)}}}, time.Now())
				}
			}
		}()
		orders := e.orders
		if err := admit(t, l, adapterName(2)); err == nil {
			t.Error("the load was served, want it refused")
		}
		close(stop)
		if got, want := e.orders, orders; got != want {
			t.Errorf("orders = %d, want %d: no unload", got, want)
		}
	})
}

// admitPrompt asks for an adapter and a turn, as a host does that then sends the request.
func admitPrompt(t *testing.T, l *loader.Loader, adapter string) error {
	return l.Admit(t.Context(), intent.Intent{EngineID: "e", Requester: "h", Model: "m", Adapter: adapter, PromptCost: time.Millisecond})
}

// An extra copy of a busy adapter, which no request waits for, comes to a full engine. If it evicts an adapter in use, the next
// caller of that waits for a load.
func TestSpreadingEvictsNoRecentlyUsedAdapter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(3)
		l := startReady(t, e)
		for i := range 3 {
			if err := admit(t, l, adapterName(i)); err != nil {
				t.Fatalf("load %d: %v, want none", i, err)
			}
		}
		spread := intent.Intent{EngineID: "e", Model: "m", Adapter: adapterName(9), Background: true}
		time.Sleep(2 * time.Second)
		if err := l.Admit(t.Context(), spread); !errors.Is(err, intent.ErrLoadQueueFull) {
			t.Errorf("spread 2 s after the last use: %v, want %v", err, intent.ErrLoadQueueFull)
		}
		time.Sleep(10 * time.Second)
		if err := l.Admit(t.Context(), spread); err != nil {
			t.Errorf("spread 12 s after the last use: %v, want none", err)
		}
	})
}

// 70 hosts report their requests every 0.75 s. An adapter in use must not count as unused between two reports: its unload would
// wait for the request and block all other unloads.
func TestAdaptersInUseAreNotUnloadedWithSlowUsageReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(1)
		e.usageInterval = 750 * time.Millisecond
		l := startReady(t, e)
		if err := admit(t, l, adapterName(0)); err != nil {
			t.Fatalf("load: %v, want none", err)
		}
		e.activeAdapters[adapterName(0)] = true
		ctx, stop := context.WithCancel(t.Context())
		go func() {
			for range ticker.Every(ctx, e.usageInterval) {
				l.RecordUsage([]usage.Usage{{Host: "h", Engine: "e", Running: 1, Adapters: []string{adapterName(0)}}}, time.Now())
			}
		}()
		orders := e.orders
		if err := admit(t, l, adapterName(1)); err == nil {
			t.Error("the load was served, want it refused")
		}
		stop()
		if got, want := e.orders, orders; got != want {
			t.Errorf("orders = %d, want %d: no unload", got, want)
		}
	})
}

// All adapter slots are taken, and hosts report that the requests there have just ended. A request for another adapter must get
// a slot at once: if slots stayed blocked after each use, callers would wait for slots that nobody uses.
func TestAdapterIsEvictableOnceItsRequestsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(1)
		e.usageInterval = 600 * time.Millisecond
		l := startReady(t, e)
		if err := admit(t, l, adapterName(0)); err != nil {
			t.Fatalf("load: %v, want none", err)
		}
		report := func(running int, adapters ...string) {
			l.RecordUsage([]usage.Usage{{Host: "h", Engine: "e", Running: running, Adapters: adapters}}, time.Now())
		}
		for range 40 {
			report(1, adapterName(0))
			time.Sleep(100 * time.Millisecond)
		}
		report(0)
		began := time.Now()
		if err := admit(t, l, adapterName(1)); err != nil {
			t.Fatalf("load: %v, want none", err)
		}
		if got, want := time.Since(began), loadTime+300*time.Millisecond; got > want {
			t.Errorf("served after %v, want %v at most", got, want)
		}
	})
}

// A turn was granted just before its host counted its requests, so the count lacks it. If the adapter counts as unused, the
// request finds it gone, or the unload waits for the request.
func TestAdapterOfARecentGrantIsNotUnloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(1)
		l := startReady(t, e)
		time.Sleep(5 * time.Second)
		if err := admitPrompt(t, l, adapterName(0)); err != nil {
			t.Fatalf("load: %v, want none", err)
		}
		e.activeAdapters[adapterName(0)] = true
		time.Sleep(50 * time.Millisecond)
		l.RecordUsage([]usage.Usage{{Host: "h", Engine: "e"}}, time.Now())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		orders := e.orders
		if err := l.Admit(ctx, intent.Intent{EngineID: "e", Requester: "g", Model: "m", Adapter: adapterName(1), PromptCost: time.Millisecond}); err == nil {
			t.Error("the load was served, want it to wait")
		}
		if got, want := e.orders, orders; got != want {
			t.Errorf("orders = %d, want %d: no unload", got, want)
		}
	})
}

// An engine announces its drain to its owner before its registration shows it; other hosts still ask for loads.
func TestDrainingEngineGetsNoLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(4)
		l := startReady(t, e)
		e.draining.Store(true)
		before := e.orders
		if err := admit(t, l, adapterName(0)); !errors.Is(err, intent.ErrDraining) {
			t.Errorf("load = %v, want %v", err, intent.ErrDraining)
		}
		if got := e.orders; got != before {
			t.Errorf("%d orders to a draining engine, want none", got-before)
		}
	})
}
