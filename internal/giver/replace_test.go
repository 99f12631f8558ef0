package giver_test

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/giver"
	"damaskreach/internal/turns"
	"damaskreach/internal/want"
)

// An adapter of a full engine is replaced by its new version while another one is asked for. An engine that is ordered to load more than it has
// places for crashes with all that it runs.
func TestAdapterThatIsReplacedTakesOnePlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(4)
		g := loaded(t, e)
		for i := 1; i < e.places; i++ {
			if err := admit(t, g, name(i)); err != nil {
				t.Fatalf("load %d: %v, want none", i, err)
			}
		}
		time.Sleep(2 * time.Second)
		g.Used("e", []string{name(0)}, time.Now())
		time.Sleep(time.Second)
		e.bring(name(0), 2)
		both := make(chan error, 2)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		go func() { both <- g.Admit(ctx, want.Want{ID: "e", Model: "m", Adapter: name(0), Version: 2}) }()
		time.Sleep(loadTime / 5)
		go func() { both <- admit(t, g, name(4)) }()
		for range 2 {
			if err := <-both; err != nil {
				t.Errorf("admit: %v, want none", err)
			}
		}
		if e.overfilled() {
			t.Error("the engine was overfilled")
		}
		if held := e.holds(); held[name(0)] != 2 || held[name(4)] != 1 {
			t.Errorf("held = %v, want %s in version 2 and %s", held, name(0), name(4))
		}
	})
}

// An engine's places are all taken, and the newer version of one of its adapters costs another one its place, which the replacement does not need.
func TestReplacementUnloadsNoOtherAdapter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(3)
		g := loaded(t, e)
		for i := 1; i < e.places; i++ {
			if err := admit(t, g, name(i)); err != nil {
				t.Fatalf("load %d: %v, want none", i, err)
			}
		}
		time.Sleep(2 * time.Second)
		e.bring(name(2), 2)
		if err := admitVersion(t, g, name(2), 2); err != nil {
			t.Errorf("replacement: %v, want none", err)
		}
		if got, want := e.holds(), (map[string]int{name(0): 1, name(1): 1, name(2): 2}); !maps.Equal(got, want) {
			t.Errorf("held = %v, want %v", got, want)
		}
		if e.overfilled() {
			t.Error("the engine was overfilled")
		}
	})
}

// All other adapters of a full engine are in use, so none can go; a replacement that waits for one of their places is refused.
func TestReplacementWaitsForNoPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(2)
		g := loaded(t, e)
		if err := admit(t, g, name(1)); err != nil {
			t.Fatalf("load: %v, want none", err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			for turns.Sleep(ctx, 50*time.Millisecond) {
				g.Used("e", []string{name(0), name(1)}, time.Now())
			}
		}()
		time.Sleep(time.Second)
		e.bring(name(0), 2)
		begun := time.Now()
		err := admitVersion(t, g, name(0), 2)
		if got, most := time.Since(begun), 2*loadTime; err != nil || got > most {
			t.Errorf("replacement: %v after %v, want none within %v", err, got, most)
		}
		if held := e.holds(); held[name(0)] != 2 || held[name(1)] != 1 {
			t.Errorf("held = %v, want %s in version 2 beside %s", held, name(0), name(1))
		}
	})
}

// admitVersion asks for an adapter in a version at least.
func admitVersion(t *testing.T, g *giver.Giver, adapter string, version int) error {
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	return g.Admit(ctx, want.Want{ID: "e", Model: "m", Adapter: adapter, Version: version})
}

// A host gets an engine whose adapter is just being replaced, which counts twice in the report and costs another adapter its place.
func TestReplacementUnderWayInAReportTakesOnePlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(4)
		for i := range 3 {
			e.held[name(i)] = 1
		}
		e.bring(name(2), 2)
		e.note()
		g := build(e)
		time.Sleep(reportLag)
		e.pending[name(2)] = time.Now().Add(time.Second)
		e.note()
		time.Sleep(reportLag)
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(func() { cancel(); synctest.Wait() })
		go g.Run(ctx)
		time.Sleep(loadTime)
		if err := admit(t, g, name(3)); err != nil {
			t.Fatalf("load: %v, want none", err)
		}
		time.Sleep(2 * time.Second)
		if got, want := e.holds(), (map[string]int{name(0): 1, name(1): 1, name(2): 2, name(3): 1}); !maps.Equal(got, want) {
			t.Errorf("held = %v, want %v", got, want)
		}
	})
}

// A newer version is asked for while the older one is on its way; those that wait for the older one must be answered as well.
func TestNewerVersionIsLoadedAfterTheOneUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(3)
		g := loaded(t, e)
		begun := time.Now()
		both := make(chan error, 2)
		go func() { both <- admit(t, g, name(1)) }()
		time.Sleep(loadTime / 5)
		e.bring(name(1), 2)
		go func() { both <- admitVersion(t, g, name(1), 2) }()
		for range 2 {
			if err := <-both; err != nil {
				t.Errorf("admit: %v, want none", err)
			}
		}
		if got, most := time.Since(begun), 3*loadTime; got > most {
			t.Errorf("both were answered after %v, want at most %v", got, most)
		}
	})
}
