//go:build !race

package site_test

import (
	"fmt"
	"testing"
	"time"

	"damaskreach/internal/lease"
	"damaskreach/internal/owner"
	"damaskreach/internal/stand/site"
)

// A node is paused between its check and what it does next, for longer than its lease, and wakes up to do it. Another
// node owns its runners by then. An unload that it sends late would cut the answers of requests the new owner started,
// and a caller would see them end early. What was cut off with the paused node itself is told so.
func TestHolderPausedPastItsLeaseDoesNoHarm(t *testing.T) {
	points := []string{lease.BeforeRenew, lease.AfterRenew, owner.BeforeStart, owner.BeforeUnload, owner.BeforeTake}
	for _, fences := range []bool{true, false} {
		for _, point := range points {
			t.Run(kind(fences)+", "+point, func(t *testing.T) {
				t.Parallel()
				play(t, 3, 3, fences, func(w *world) { w.pausePast(point) })
			})
		}
	}
}

func kind(fences bool) string {
	if fences {
		return "engines that honour fences"
	}
	return "engines that ignore fences"
}

func (w *world) pausePast(point string) {
	stop := w.load(6, 3)
	if point == owner.BeforeTake {
		w.pauseTaker()
	} else {
		w.await(w.pauseAt(0, point, lapse))
	}
	w.pass(quiet)
	since := time.Now()
	w.pass(quiet)
	stop()
	w.whole(since)
	w.owners("after the pause", 0, 1, 2)
	w.serves("after the pause", 0, 1, 2)
}

// pauseTaker kills a node, so that the others take its runner, and pauses one of them just before.
func (w *world) pauseTaker() {
	woke := [2]<-chan struct{}{w.pauseAt(0, owner.BeforeTake, lapse), w.pauseAt(1, owner.BeforeTake, lapse)}
	w.kill(2)
	select {
	case <-woke[0]:
	case <-woke[1]:
	case <-time.After(patience):
		w.t.Errorf("got no takeover within %s, want one", patience)
	}
	w.start(2)
}

// The owner of a runner is paused just before it sends a long request. Its successor finds nothing running on the
// model and has other models to load. The request that arrives at the engine late would lose its adapter under way.
func TestStartSentLateKeepsItsModel(t *testing.T) {
	for _, fences := range []bool{true, false} {
		t.Run(kind(fences), func(t *testing.T) {
			t.Parallel()
			play(t, 2, 1, fences, func(w *world) {
				first := w.owners("at first", 0, 1)[site.RunnerName(0)]
				other := 1 - first
				woke := w.pauseAt(first, owner.BeforeStart, lapse)
				go w.Ask(w.ctx, first, "late", model, "long", 2000)
				w.pass(time.Second)
				w.Net.Cut(site.Host(0), site.Host(1)) // the successor cannot ask the former owner
				w.await(woke)
				w.pass(100 * time.Millisecond) // the late request has arrived, and no report shows it yet
				for a := 2; a < adapters; a++ {
					go w.Ask(w.ctx, other, fmt.Sprintf("evicting %d", a), site.AdapterName(a)+"@v1", "short", 2)
				}
				w.pass(quiet)
				w.Net.Heal(site.Host(0), site.Host(1))
				w.pass(quiet)
				w.owners("after the pause", 0, 1)
				w.serves("after the pause", 0, 1)
			})
		})
	}
}

// The owner of a runner is paused just before it sends an unload, and its successor gets requests for that model. The
// engine still holds it, so they could start, and the unload that arrives late would cut their answers.
func TestUnloadSentLateCutsNoAnswer(t *testing.T) {
	for _, fences := range []bool{true, false} {
		t.Run(kind(fences), func(t *testing.T) {
			t.Parallel()
			play(t, 2, 1, fences, func(w *world) {
				first := w.owners("at first", 0, 1)[site.RunnerName(0)]
				other := 1 - first
				w.Ask(w.ctx, first, "one", site.AdapterName(1)+"@v1", "short", 2)
				w.Ask(w.ctx, first, "two", site.AdapterName(2)+"@v1", "short", 2)
				woke := w.pauseAt(first, owner.BeforeUnload, lapse)
				go w.Ask(w.ctx, first, "three", site.AdapterName(3)+"@v1", "short", 2)
				w.pass(lapse - 3*time.Second)
				since := time.Now()
				go w.Ask(w.ctx, other, "late one", site.AdapterName(1)+"@v1", "long", 2000)
				go w.Ask(w.ctx, other, "late two", site.AdapterName(2)+"@v1", "long", 2000)
				w.await(woke)
				w.pass(quiet)
				w.whole(since)
				w.serves("after the pause", 0, 1)
			})
		})
	}
}
