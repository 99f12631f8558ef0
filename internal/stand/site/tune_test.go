//go:build !race

package site_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"damaskreach/internal/catlog"
	"damaskreach/internal/rows"
	"damaskreach/internal/stand/site"
	"damaskreach/internal/table"
	"damaskreach/internal/tune"
)

const inForce = 6 * time.Second // from an accepted change of the table until it holds everywhere

// Operators turn the weighting of the policy in the table while the site serves. If homes and owners went on with the
// options they started with, the edit would be reported as in force everywhere and change nothing.
func TestTuneIsFollowedWithoutRestart(t *testing.T) {
	play(t, 2, 2, false, func(w *world) {
		stop := w.occupy(site.AdapterName(0)) // its runner has a batch, the other one has none
		if got, want := w.ranOn(site.AdapterName(1)), w.ranOn(site.AdapterName(0)); got != want {
			t.Errorf("stall 0.5: got the request on runner %d, want it in the batch of runner %d", got, want)
		}
		w.tuneTo(func(o tune.Tune) tune.Tune { o.Stall = 1; return o })
		for a := 2; a < 4; a++ {
			if got, not := w.ranOn(site.AdapterName(a)), w.ranOn(site.AdapterName(0)); got == not {
				t.Errorf("stall 1: got adapter %d on runner %d, want it on the runner without a batch", a, got)
			}
		}
		stop()

		if got, want := w.crowd(), 0; got != want {
			t.Errorf("queue 64: got %d requests refused, want %d", got, want)
		}
		w.tuneTo(func(o tune.Tune) tune.Tune { o.Queue = 1; return o })
		if got, want := w.crowd(), 10; got < want {
			t.Errorf("queue 1: got %d requests refused, want %d or more", got, want)
		}
	})
}

// Operators pin an adapter that nobody has asked for yet. One runner has it before long, and only one: a slot of each
// runner would be lost to it otherwise.
func TestPinnedAdapterIsResidentOnOneRunner(t *testing.T) {
	play(t, 2, 3, false, func(w *world) {
		w.serves("before", 0)
		pinned := w.Adapter("sundown")
		pinned.Pinned = true
		if _, err := w.Apply(w.ctx, site.Row("adapter", pinned.Name, pinned)); err != nil {
			t.Fatal(err)
		}
		w.pass(quiet)
		has := 0
		for i := range 2 {
			for _, d := range w.Node(i).Runners() {
				if slices.Contains(d.Resident, "sundown@v1") {
					has++
				}
			}
		}
		if got, want := has, 1; got != want {
			t.Errorf("got %d runners with the pinned adapter, want %d", got, want)
		}
	})
}

// tuneTo changes the options in the table and waits until they must hold.
func (w *world) tuneTo(change func(o tune.Tune) tune.Tune) {
	w.t.Helper()
	key := table.PrefixConf + catlog.KindTune
	now, _ := w.DB.Table().Read(w.ctx, key) // absent the first time
	value, err := json.Marshal(change(w.Node(0).Catalog().Tune()))
	if err == nil {
		_, err = w.Apply(w.ctx, rows.Row{Key: key, Rev: now.Rev, Value: value})
	}
	if err != nil {
		w.t.Fatalf("changing the options: %v", err)
	}
	w.pass(inForce)
}

// occupy keeps a request for an adapter running until stop is called.
func (w *world) occupy(adapter string) (stop func()) {
	var all sync.WaitGroup
	var over atomic.Bool
	all.Go(func() {
		for !over.Load() {
			_, _, _, _ = w.Complete(w.ctx, 0, adapter+"@v1", "long", longAnswer, nil) // what became of it is not the matter here
		}
	})
	w.pass(time.Second)
	return func() {
		over.Store(true)
		all.Wait()
	}
}

// ranOn asks for an adapter and returns the engine that ran it first.
func (w *world) ranOn(adapter string) int {
	w.t.Helper()
	if status, _, _, err := w.Complete(w.ctx, 0, adapter+"@v1", "short", 1, nil); err != nil || status != http.StatusOK {
		w.t.Fatalf("adapter %s: got status %d, error %v, want an answer", adapter, status, err)
	}
	for i, e := range w.Engines {
		for _, r := range e.Records() {
			if r.Model == adapter+"@v1" {
				return i
			}
		}
	}
	return -1
}

// crowd sends far more requests for one adapter at once than a batch holds and returns how many were refused.
func (w *world) crowd() int {
	var all sync.WaitGroup
	var refused atomic.Int64
	for range 2 * 3 * w.Engines[0].Batch {
		all.Go(func() {
			status, _, _, _ := w.Complete(w.ctx, 0, site.AdapterName(0)+"@v1", "crowd", 50, nil)
			if status != http.StatusOK {
				refused.Add(1)
			}
		})
	}
	all.Wait()
	return int(refused.Load())
}
