//go:build !race

package site_test

import (
	"testing"
	"time"

	"damaskreach/internal/assign"
	"damaskreach/internal/owner"
	"damaskreach/internal/stand/site"
)

// An engine comes back from a cold start with nothing loaded, and its owner is asked for a model that it had. With one
// engine there is no other to fall back on: an owner that went by what it knew would send the request to a model that is
// gone, and callers would be refused for half a minute.
func TestColdEngineIsNoticedByItsReport(t *testing.T) {
	for _, fences := range []bool{true, false} {
		t.Run(kind(fences), func(t *testing.T) {
			play(t, 2, 1, fences, func(w *world) {
				w.serves("before", 0)
				w.Engines[0].Crash()
				w.pass(w.Engines[0].Restart + w.Engines[0].Lag + 2*time.Second)
				since := time.Now()
				for a := adapters - 1; a >= 0; a-- { // the last ones asked for are those that were resident
					w.Ask(w.ctx, 0, "after", version(a), "prompt", 3)
				}
				w.whole(since)
			})
		})
	}
}

// A node dies while it carries a long answer and its link to the engine is cut, so that the engine goes on with it. A new
// process comes up at its address and is asked by the successor what is in use. It knows of nothing. Taken at its word,
// it would have the successor unload the model under the answer that is being generated.
func TestReplacementSpeaksForNoRequestOfTheDead(t *testing.T) {
	for _, fences := range []bool{true, false} {
		t.Run(kind(fences), func(t *testing.T) {
			play(t, 2, 1, fences, func(w *world) {
				w.Net.SetLinger(true)
				first := w.owners("at first", 0, 1)[site.RunnerName(0)]
				other := 1 - first
				go w.Ask(w.ctx, first, "orphan", version(1), "long", 6000)
				w.pass(time.Second)
				w.Net.Cut(site.Host(first), site.EngineHost(0))
				w.KillNode(first)
				w.pass(lapse)
				w.owners("after the death", other)
				w.StartNode(w.ctx, first)
				for a := 2; a < adapters; a++ {
					go w.Ask(w.ctx, other, "evicting", version(a), "short", 2)
				}
				w.pass(quiet)
				w.Net.Heal(site.Host(first), site.EngineHost(0))
				w.pass(quiet)
				w.serves("after", 0, 1)
			})
		})
	}
}

// A node is about to take a runner when it is shut down, and its successor is about to take the same one: both have read
// that it has no owner. The loser's write is refused. Taken for its own, it would leave a runner whose row names another
// node than the one that acts on it: nothing could be unloaded there, or two nodes would give orders under one fence.
func TestLoserOfAClaimSeesThatItLost(t *testing.T) {
	for _, first := range []string{"the leaver", "the other"} {
		both(t, 3, 4, func(w *world, _ bool) { w.raceFor(first == "the leaver") })
	}
}

func (w *world) raceFor(leaverFirst bool) {
	gates := [2]chan struct{}{make(chan struct{}), make(chan struct{})}
	took := make(chan int, 8)
	for i := range 2 {
		w.Node(i).SetPause(func(point string) {
			if point == owner.BeforeTake {
				took <- i
				<-gates[i]
			}
		})
	}
	w.kill(2)
	w.pass(lapse)
	leaver := <-took
	for len(took) > 0 {
		<-took
	}
	w.Node(leaver).Drain()
	w.pass(5 * time.Second) // the other node plans without it
	if len(took) == 0 {
		w.t.Error("got no second claim, want one")
	}
	order := []int{1 - leaver, leaver}
	if leaverFirst {
		order = []int{leaver, 1 - leaver}
	}
	for _, i := range order {
		close(gates[i])
		w.pass(100 * time.Millisecond)
	}
	w.Wait(leaver)
	w.pass(quiet)
	w.named("after the race", 1-leaver)
	w.start(leaver)
	w.start(2)
	w.pass(quiet)
	w.named("after the restarts", 0, 1, 2)
	w.owners("after the restarts", 0, 1, 2)
	w.serves("after the restarts", 0, 1, 2)
	w.used("after the restarts")
}

// named demands that the row of each runner names the session under which a node holds it.
func (w *world) named(when string, nodes ...int) {
	w.t.Helper()
	for _, i := range nodes {
		for _, d := range w.Node(i).Runners() {
			row, err := w.DB.Table().Read(w.ctx, assign.Key(site.Name, d.Runner))
			if err != nil {
				w.t.Fatal(err)
			}
			a, err := assign.Decode(row.Value)
			if got, want := a.Session, d.Owner; got != want || err != nil {
				w.t.Errorf("%s, node %d: got the row of %s to name %s, error %v, want %s", when, i, d.Runner, got, err, want)
			}
		}
	}
}
