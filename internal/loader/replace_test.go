package loader_test

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/intent"
	"damaskreach/internal/loader"
	"damaskreach/internal/ticker"
)

// A new version replaces an adapter of a full engine while another adapter is requested. An engine that is ordered to load more
// than it has places for crashes.
func TestReplacedAdapterTakesOneSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(4)
		l := startLoaded(t, e)
		for i := 1; i < e.places; i++ {
			if err := admit(t, l, adapterName(i)); err != nil {
				t.Fatalf("load %d: %v, want none", i, err)
			}
		}
		time.Sleep(2 * time.Second)
		l.MarkUsed("e", []string{adapterName(0)}, time.Now())
		time.Sleep(time.Second)
		e.setNewVersion(adapterName(0), 2)
		results := make(chan error, 2)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		go func() {
			results <- l.Admit(ctx, intent.Intent{EngineID: "e", Model: "m", Adapter: adapterName(0), Version: 2})
		}()
		time.Sleep(loadTime / 5)
		go func() { results <- admit(t, l, adapterName(4)) }()
		for range 2 {
			if err := <-results; err != nil {
				t.Errorf("admit: %v, want none", err)
			}
		}
		if e.overfilled() {
			t.Error("the engine was overfilled")
		}
		if held := e.heldAdapters(); held[adapterName(0)] != 2 || held[adapterName(4)] != 1 {
			t.Errorf("held = %v, want %s in version 2 and %s", held, adapterName(0), adapterName(4))
		}
	})
}

// A new version of an adapter on a full engine must not evict another adapter: it reuses the place of the old version.
func TestReplacementUnloadsNoOtherAdapter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(3)
		l := startLoaded(t, e)
		for i := 1; i < e.places; i++ {
			if err := admit(t, l, adapterName(i)); err != nil {
				t.Fatalf("load %d: %v, want none", i, err)
			}
		}
		time.Sleep(2 * time.Second)
		e.setNewVersion(adapterName(2), 2)
		if err := admitVersion(t, l, adapterName(2), 2); err != nil {
			t.Errorf("replacement: %v, want none", err)
		}
		if got, want := e.heldAdapters(), (map[string]int{adapterName(0): 1, adapterName(1): 1, adapterName(2): 2}); !maps.Equal(got, want) {
			t.Errorf("held = %v, want %v", got, want)
		}
		if e.overfilled() {
			t.Error("the engine was overfilled")
		}
	})
}

// All other adapters of a full engine are in use. A replacement that waits for one of their places is refused.
func TestReplacementNeedsNoFreeSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(2)
		l := startLoaded(t, e)
		if err := admit(t, l, adapterName(1)); err != nil {
			t.Fatalf("load: %v, want none", err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			for ticker.Sleep(ctx, 50*time.Millisecond) {
				l.MarkUsed("e", []string{adapterName(0), adapterName(1)}, time.Now())
			}
		}()
		time.Sleep(time.Second)
		e.setNewVersion(adapterName(0), 2)
		begun := time.Now()
		err := admitVersion(t, l, adapterName(0), 2)
		if got, maxTime := time.Since(begun), 2*loadTime; err != nil || got > maxTime {
			t.Errorf("replacement: %v after %v, want none within %v", err, got, maxTime)
		}
		if held := e.heldAdapters(); held[adapterName(0)] != 2 || held[adapterName(1)] != 1 {
			t.Errorf("held = %v, want %s in version 2 beside %s", held, adapterName(0), adapterName(1))
		}
	})
}

// admitVersion asks for at least the given version of an adapter.
func admitVersion(t *testing.T, l *loader.Loader, adapter string, version int) error {
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	return l.Admit(ctx, intent.Intent{EngineID: "e", Model: "m", Adapter: adapter, Version: version})
}

// A host takes over an engine that is replacing an adapter. If the report counts that adapter twice, another one is evicted.
func TestReportedReplacementTakesOneSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(4)
		for i := range 3 {
			e.held[adapterName(i)] = 1
		}
		e.setNewVersion(adapterName(2), 2)
		e.recordState()
		l := newLoader(e)
		time.Sleep(reportLag)
		e.pending[adapterName(2)] = time.Now().Add(time.Second)
		e.recordState()
		time.Sleep(reportLag)
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(func() { cancel(); synctest.Wait() })
		go l.Run(ctx)
		time.Sleep(loadTime)
		if err := admit(t, l, adapterName(3)); err != nil {
			t.Fatalf("load: %v, want none", err)
		}
		time.Sleep(2 * time.Second)
		if got, want := e.heldAdapters(), (map[string]int{adapterName(0): 1, adapterName(1): 1, adapterName(2): 2, adapterName(3): 1}); !maps.Equal(got, want) {
			t.Errorf("held = %v, want %v", got, want)
		}
	})
}

// A newer version is requested while the older one loads; requests for the older one must be answered as well.
func TestNewerVersionLoadsAfterThePendingOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(3)
		l := startLoaded(t, e)
		begun := time.Now()
		results := make(chan error, 2)
		go func() { results <- admit(t, l, adapterName(1)) }()
		time.Sleep(loadTime / 5)
		e.setNewVersion(adapterName(1), 2)
		go func() { results <- admitVersion(t, l, adapterName(1), 2) }()
		for range 2 {
			if err := <-results; err != nil {
				t.Errorf("admit: %v, want none", err)
			}
		}
		if got, maxTime := time.Since(begun), 3*loadTime; got > maxTime {
			t.Errorf("both were answered after %v, want at most %v", got, maxTime)
		}
	})
}
