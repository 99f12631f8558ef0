//go:build !race

package site_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"damaskreach/internal/action"
	"damaskreach/internal/host"
	"damaskreach/internal/stand/site"
)

// Every node is replaced in turn by a graceful shutdown while callers send short and long requests. A shutdown that
// did not wait, or a runner handed over too early, would cut answers off.
func TestAllNodesReplacedOneByOne(t *testing.T) {
	both(t, 3, 3, func(w *world, _ bool) {
		stop := w.load(6, 3)
		since := time.Now()
		for i := range 3 {
			w.drain(i)
			w.start(i)
			w.use(i, true)
			w.pass(quiet)
		}
		stop()
		w.whole(since, "overloaded")
		w.owners("after the replacement", 0, 1, 2)
		w.serves("after the replacement", 0, 1, 2)
	})
}

// A node is shut down while it carries a long answer as entry and as owner. The caller gets the whole of it.
func TestDrainCutsNothing(t *testing.T) {
	both(t, 2, 2, func(w *world, _ bool) {
		done := make(chan string, 4)
		for a := range 4 {
			go func() { done <- w.Ask(w.ctx, 0, "long", site.AdapterName(a)+"@v1", "long", 3000) }()
		}
		w.pass(2 * time.Second)
		w.drain(0)
		for range 4 {
			if fault := <-done; fault != "" {
				w.t.Errorf("got %q, want a whole answer", fault)
			}
		}
		if got, want := w.count(action.Exit, time.Time{}), 1; got != want {
			w.t.Errorf("got %d complete shutdowns, want %d", got, want)
		}
		w.pass(quiet)
		w.serves("after the shutdown", 1)
	})
}

// Half of the nodes end at once without warning. Their callers see errors; the others take all runners over, and
// within half a minute every request is answered again.
func TestHalfOfTheNodesAtOnce(t *testing.T) {
	both(t, 6, 6, func(w *world, _ bool) {
		stop := w.load(6, 6)
		for i := range 3 {
			w.kill(i)
		}
		w.pass(quiet)
		w.owners("half a minute later", 3, 4, 5)
		since := time.Now()
		w.pass(quiet)
		stop()
		w.whole(since, "overloaded")
		w.serves("a minute later", 3, 4, 5)
		for i := range 3 {
			w.start(i)
		}
	})
}

// A runner is marked as leaving by its operators, another by the host list, under load. Stated is that a few seconds
// later it gets no new work; it would otherwise be taken away with requests in progress.
func TestLeavingRunnerGetsNoStart(t *testing.T) {
	both(t, 3, 4, func(w *world, _ bool) {
		stop := w.load(6, 3)
		since := time.Now()
		if err := w.MarkLeaving(w.ctx, 0, true); err != nil {
			w.t.Fatal(err)
		}
		w.Hosts.Set(host.Host{Addr: site.EngineHost(1), State: host.Leaving})
		w.Note(action.Action{Kind: action.Leave, Runner: site.RunnerName(1)})
		w.pass(quiet)
		owner := w.owners("after the marks", 0, 1, 2)[site.RunnerName(0)]
		w.kill(owner) // the successor must know of the mark too
		w.pass(quiet)
		stop()
		if got := w.count(action.Start, since); got < 100 {
			w.t.Errorf("got %d starts on other runners, want 100 or more", got)
		}
		w.start(owner)
	})
}

// An engine comes back from a cold start at the same address, with nothing loaded. Its owner must notice, or requests
// would be sent to models that are gone.
func TestEngineBackFromColdStart(t *testing.T) {
	both(t, 3, 2, func(w *world, _ bool) {
		w.serves("before", 0, 1, 2)
		stop := w.load(4, 3)
		for range 3 {
			w.Engines[0].Crash()
			w.pass(quiet)
		}
		since := time.Now()
		w.pass(quiet)
		stop()
		w.whole(since, "overloaded")
		w.serves("after", 0, 1, 2)
	})
}

// A node is replaced at the same address while messages to the old one are under way. The new process knows nothing of
// the old one's requests; if it answered for it, a successor would unload models that they still use.
func TestNodeReplacedAtItsAddress(t *testing.T) {
	both(t, 3, 3, func(w *world, _ bool) {
		w.Net.SetLinger(true)
		stop := w.load(6, 3)
		for range 3 {
			w.Net.Cut(site.Host(0), site.Host(1))
			w.Net.Cut(site.Host(1), site.EngineHost(0))
			w.pass(time.Second)
			w.kill(1)
			w.start(1)
			w.Net.Heal(site.Host(0), site.Host(1))
			w.Net.Heal(site.Host(1), site.EngineHost(0))
			w.pass(quiet)
		}
		since := time.Now()
		w.pass(quiet)
		stop()
		w.whole(since, "overloaded")
		w.owners("after", 0, 1, 2)
		w.serves("after", 0, 1, 2)
	})
}

// The host list says that live hosts are gone and that a dead one is live. Nobody may lose a runner or a request over
// a lie, and the dead node's runners are taken over all the same.
func TestHostListLiesBothWays(t *testing.T) {
	both(t, 3, 3, func(w *world, fences bool) {
		for i := range 3 {
			w.Hosts.Set(host.Host{Addr: site.Host(i), State: host.Live})
			w.Hosts.Lie(site.Host(i), host.Gone)
			w.Hosts.Lie(site.EngineHost(i), host.Gone)
		}
		stop := w.load(4, 3)
		since := time.Now()
		w.pass(time.Minute)
		w.whole(since, "overloaded")
		for i := range 3 {
			w.Hosts.Lie(site.Host(i), host.Live)
		}
		w.pass(quiet)
		w.KillNode(2)
		w.pass(lapse)
		w.owners("after the death", 0, 1)
		stop()
		if fences {
			w.serves("after the death", 0, 1)
		}
		w.start(2)
	})
}

// Replicas of the table lag behind by a minute, every second reading or all of them, while operators edit. No node may
// go back to an older configuration, nor take live nodes for dead.
func TestLaggingReplicas(t *testing.T) {
	for _, every := range []int{1, 2} {
		both(t, 3, 3, func(w *world, _ bool) {
			before := w.fences(3)
			w.partAll(3)
			w.DB.SetLag(time.Minute, every)
			stop := w.load(4, 3)
			since := time.Now()
			for n := range 10 {
				name := site.AdapterName(100 + n)
				if _, err := w.Apply(w.ctx, site.Row("adapter", name, w.Adapter(name))); err != nil {
					w.t.Fatal(err)
				}
				w.pass(20 * time.Second)
			}
			stop()
			w.whole(since, "overloaded")
			w.DB.SetLag(0, 1)
			w.joinAll(3)
			w.pass(quiet)
			w.owners("after", 0, 1, 2)
			w.unmoved("after", before, 3)
		})
	}
}

// Several operators edit one row from the same revision. One of them wins, the others are told, and every node has the
// winner's row; with another's in force, callers would be refused versions that the operators were told are there.
func TestRacingEdits(t *testing.T) {
	both(t, 3, 2, func(w *world, _ bool) {
		for n := range 10 {
			key := site.Row("adapter", "contested", nil).Key
			var rev int64
			if n > 0 {
				now, err := w.DB.Table().Read(w.ctx, key)
				if err != nil {
					w.t.Fatal(err)
				}
				rev = now.Rev
			}
			winners := w.race(rev, n)
			if len(winners) != 1 {
				w.t.Fatalf("got %d edits accepted, want 1", len(winners))
			}
			w.pass(site.ForceGrace)
			for i := range 3 {
				a, _ := w.Node(i).Catalog().Adapter("contested")
				if got, want := slices.Collect(maps.Keys(a.Versions)), winners; !slices.Equal(got, want) {
					w.t.Errorf("round %d, node %d: got versions %v in force, want %v", n, i, got, want)
				}
			}
		}
		w.pass(quiet)
	})
}

// race has four operators edit a row at once from a revision and returns the versions that those accepted wrote.
func (w *world) race(rev int64, n int) []string {
	results := make(chan string, 4)
	for k := range 4 {
		go func() {
			version := fmt.Sprintf("v%d-%d", n, k)
			a := w.Adapter("contested")
			a.Versions = map[string]int{version: 1}
			row := site.Row("adapter", "contested", a)
			row.Rev = rev
			if _, err := w.Apply(w.ctx, row); err != nil {
				version = ""
			}
			results <- version
		}()
	}
	var winners []string
	for range 4 {
		if version := <-results; version != "" {
			winners = append(winners, version)
		}
	}
	return winners
}
