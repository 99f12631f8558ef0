package giver_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

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
		e.newest = map[string]int{name(0): 2}
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
		if e.crashed {
			t.Error("the engine was overfilled")
		}
		if e.held[name(0)] != 2 || e.held[name(4)] != 1 {
			t.Errorf("held = %v, want %s in version 2 and %s", e.held, name(0), name(4))
		}
	})
}
