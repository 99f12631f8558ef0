//go:build !race

package site_test

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/action"
	"damaskreach/internal/host"
	"damaskreach/internal/stand/site"
)

const (
	adapters = 8
	quiet    = 30 * time.Second        // for a site to settle after a fault has ended
	stagger  = 1700 * time.Millisecond // between the starts of nodes, whose clocks would tick together otherwise
	patience = 2 * time.Minute         // for a condition
	lapse    = 25 * time.Second        // longer than a lease and the takeover after it
)

// world is a site under test in virtual time.
type world struct {
	*site.Site
	t   *testing.T
	ctx context.Context

	mu   sync.Mutex
	shut map[int]bool // nodes that callers do not use
}

// play starts a site of nodes and engines of few slots, runs script and reports every breach of what must always hold.
func play(t *testing.T, nodes, engines int, fences bool, script func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &world{Site: site.NewSite(1, engines), t: t, ctx: ctx, shut: map[int]bool{}}
		if os.Getenv("SITE_LOG") != "" {
			w.Log, _ = zap.NewDevelopment()
		}
		for i, e := range w.Engines {
			e.Slots, e.Fences = 2, fences
			w.Hosts.Set(host.Host{Addr: site.EngineHost(i), State: host.Live})
		}
		if err := w.Start(ctx, adapters); err != nil {
			t.Fatal(err)
		}
		for i := range nodes {
			w.StartNode(ctx, i)
			time.Sleep(stagger)
		}
		time.Sleep(quiet)
		script(w)
		for _, b := range w.Breaches() {
			t.Errorf("got a breach: %s", b)
		}
		cancel()
		for i := range nodes {
			w.Wait(i)
		}
		time.Sleep(time.Hour) // lets closed connections and unanswered calls end
	})
}

// pass lets virtual time pass.
func (w *world) pass(d time.Duration) {
	time.Sleep(d)
}

// load puts callers on the site and returns the function that stops them and waits for their last answers.
func (w *world) load(callers, nodes int) (stop func()) {
	ctx, cancel := context.WithCancel(w.ctx)
	var all sync.WaitGroup
	for c := range callers {
		all.Go(func() {
			w.Load(ctx, uint64(c+1), adapters, func(r *rand.Rand) int { return w.pick(r, nodes) })
		})
	}
	return func() {
		cancel()
		all.Wait()
	}
}

func (w *world) pick(r *rand.Rand, nodes int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := r.IntN(nodes)
	if w.shut[i] || !w.Up(i) {
		return -1
	}
	return i
}

// use tells callers whether to use node i.
func (w *world) use(i int, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shut[i] = !on
}

// kill ends node i without warning; the host list says so a little later.
func (w *world) kill(i int) {
	w.KillNode(i)
	w.Hosts.Set(host.Host{Addr: site.Host(i), State: host.Gone})
}

// start runs node i again.
func (w *world) start(i int) {
	w.Hosts.Set(host.Host{Addr: site.Host(i), State: host.Live})
	w.StartNode(w.ctx, i)
}

// drain shuts node i down gracefully; callers learn of it as late as a discovery answer allows.
func (w *world) drain(i int) {
	n := w.Node(i)
	n.Drain()
	time.Sleep(n.Conf.EntriesLife)
	w.use(i, false)
	w.Wait(i)
}

// freeze stops node i as a paused process: nothing reaches it or leaves it until thaw.
func (w *world) freeze(i int) {
	w.Note(action.Action{Kind: action.Part, Process: w.Process(i)})
	w.Net.Freeze(site.Host(i))
	w.DB.CutClient(w.Node(i).Conf.Node, true)
}

func (w *world) thaw(i int) {
	w.DB.CutClient(w.Node(i).Conf.Node, false)
	w.Net.Thaw(site.Host(i))
	w.Note(action.Action{Kind: action.Join, Process: w.Process(i)})
}

// pauseAt makes node i pause for d when it next comes to a point, and returns a channel that tells when it woke.
func (w *world) pauseAt(i int, point string, d time.Duration) <-chan struct{} {
	woke := make(chan struct{})
	var reached atomic.Bool
	w.Node(i).SetPause(func(p string) {
		switch {
		case p != point:
		case !reached.CompareAndSwap(false, true):
			<-woke
		default:
			w.freeze(i)
			time.Sleep(d)
			w.thaw(i)
			close(woke)
		}
	})
	return woke
}

// await waits for the end of a pause.
func (w *world) await(woke <-chan struct{}) {
	w.t.Helper()
	select {
	case <-woke:
	case <-time.After(patience):
		w.t.Errorf("got no pause within %s, want one", patience)
	}
}

// serves demands that each of the nodes answers for each adapter.
func (w *world) serves(when string, nodes ...int) {
	w.t.Helper()
	for _, i := range nodes {
		for a := range adapters {
			if fault := w.Ask(w.ctx, i, "probe", site.AdapterName(a)+"@v1", "probe", 3); fault != "" {
				w.t.Errorf("%s, node %d, adapter %d: got %q, want a whole answer", when, i, a, fault)
			}
		}
	}
}

// faults returns the answers to callers that failed since a time, but for those that name one of the excuses.
func (w *world) faults(since time.Time, excuses ...string) []action.Action {
	var found []action.Action
	for _, a := range w.Actions() {
		if a.Kind != action.Answer || a.Fault == "" || a.At.Before(since) {
			continue
		}
		if !slices.ContainsFunc(excuses, func(e string) bool { return strings.Contains(a.Fault, e) }) {
			found = append(found, a)
		}
	}
	return found
}

// whole demands that no answer failed since a time, but for those that name one of the excuses.
func (w *world) whole(since time.Time, excuses ...string) {
	w.t.Helper()
	for n, a := range w.faults(since, excuses...) {
		if n < 5 {
			w.t.Errorf("request %s by %s at %s: got %q, want a whole answer", a.Request, a.Process, a.At.Format("15:04:05.000"), a.Fault)
		}
	}
}

// owners demands that each runner has one owner among the nodes, and returns it.
func (w *world) owners(when string, nodes ...int) map[string]int {
	w.t.Helper()
	owner := map[string]int{}
	for _, i := range nodes {
		for _, d := range w.Node(i).Runners() {
			if other, known := owner[d.Runner]; known {
				w.t.Errorf("%s: got nodes %d and %d as owners of %s, want one", when, other, i, d.Runner)
			}
			owner[d.Runner] = i
		}
	}
	if got, want := len(owner), len(w.Engines); got != want {
		w.t.Errorf("%s: got %d runners with an owner, want %d: %v", when, got, want, owner)
	}
	return owner
}

// fences returns the fence under which each runner is owned; it grows with every change of owner.
func (w *world) fences(nodes int) map[string]int64 {
	held := map[string]int64{}
	for i := range nodes {
		for _, d := range w.Node(i).Runners() {
			held[d.Runner] = d.Fence
		}
	}
	return held
}

// unmoved demands that no runner has changed its owner since fences were noted.
func (w *world) unmoved(when string, before map[string]int64, nodes int) {
	w.t.Helper()
	for runner, fence := range w.fences(nodes) {
		if fence != before[runner] {
			w.t.Errorf("%s: got fence %d of %s, want %d as before", when, fence, runner, before[runner])
		}
	}
}

// count returns how many actions of a kind succeeded since a time.
func (w *world) count(kind string, since time.Time) int {
	n := 0
	for _, a := range w.Actions() {
		if a.Kind == kind && a.Fault == "" && !a.At.Before(since) {
			n++
		}
	}
	return n
}
