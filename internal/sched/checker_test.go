package sched_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"damaskreach/internal/call"
	"damaskreach/internal/order"
	"damaskreach/internal/report"
	"damaskreach/internal/runner"
	"damaskreach/internal/sched"
	"damaskreach/internal/tune"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// checker carries orders out on a model of the engine and fails the test on the first one that violates an invariant.
type checker struct {
	t             *rapid.T
	s             *sched.Sched
	now           time.Time
	slots         int
	batch         int
	boot          int
	reportedBoot  int // of the last report
	serial        int
	held          map[string]string // "loading", "resident", "unloading" or "lost", by model
	pinned        map[string]bool
	queued        map[string]call.Call
	running       map[string]call.Call
	loads         []string
	unloads       []string
	failedUnloads map[string]bool // models of which an unload was sent and failed
	lostUnloads   map[string]bool // models that the engine lost and whose unload is in progress
	log           []order.Order
}

func newChecker(t *rapid.T) *checker {
	slots := rapid.IntRange(1, 4).Draw(t, "slots")
	batch := rapid.IntRange(1, 6).Draw(t, "batch")
	tu := tune.Default()
	tu.Queue = rapid.IntRange(1, 8).Draw(t, "queue")
	tu.Stall = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "stall")
	r := &checker{t: t, now: startTime, slots: slots, batch: batch}
	r.s = sched.NewSched(runner.Runner{Name: "r1", Group: "g", Slots: slots, Batch: batch}, tu)
	r.held = map[string]string{}
	r.pinned = map[string]bool{}
	r.failedUnloads = map[string]bool{}
	r.lostUnloads = map[string]bool{}
	r.queued = map[string]call.Call{}
	r.running = map[string]call.Call{}
	r.report()
	return r
}

func (r *checker) inUse(model string) int {
	n := 0
	for _, c := range r.running {
		if c.Adapter != "" && c.Model() == model {
			n++
		}
	}
	return n
}

func (r *checker) apply(orders []order.Order) {
	r.log = append(r.log, orders...)
	for _, o := range orders {
		switch o.Kind {
		case order.Start:
			r.start(o)
		case order.Load:
			r.load(o)
		case order.Unload:
			r.unload(o)
		case order.Refuse:
			r.refuse(o)
		default:
			r.t.Fatalf("kind: got %q", o.Kind)
		}
	}
}

func (r *checker) start(o order.Order) {
	c, queued := r.queued[o.Attempt]
	if !queued {
		r.t.Fatalf("start of %s, which is not queued", o.Attempt)
	}
	unaware := r.held[c.Model()] == "lost" && r.reportedBoot != r.boot
	if c.Adapter != "" && r.held[c.Model()] != "resident" && !unaware {
		r.t.Fatalf("start on %s: got state %q, want resident", c.Model(), r.held[c.Model()])
	}
	delete(r.queued, o.Attempt)
	r.running[o.Attempt] = c
	if len(r.running) > r.batch {
		r.t.Fatalf("running: got %d, want at most %d", len(r.running), r.batch)
	}
}

func (r *checker) load(o order.Order) {
	if r.held[o.Model] != "" {
		r.t.Fatalf("load of %s, which is %s", o.Model, r.held[o.Model])
	}
	r.held[o.Model] = "loading"
	r.loads = append(r.loads, o.Model)
	if len(r.held) > r.slots {
		r.t.Fatalf("slots taken: got %d, want at most %d", len(r.held), r.slots)
	}
}

func (r *checker) unload(o order.Order) {
	repeated := r.held[o.Model] == "unloading" && !slices.Contains(r.unloads, o.Model)
	if !repeated && r.held[o.Model] != "resident" && r.held[o.Model] != "lost" || r.inUse(o.Model) > 0 || r.pinned[o.Model] {
		r.t.Fatalf("unload of %s: state %q, %d in use, pinned %t", o.Model, r.held[o.Model], r.inUse(o.Model), r.pinned[o.Model])
	}
	r.lostUnloads[o.Model] = r.lostUnloads[o.Model] || r.held[o.Model] == "lost"
	r.held[o.Model] = "unloading"
	r.unloads = append(r.unloads, o.Model)
}

func (r *checker) refuse(o order.Order) {
	if _, queued := r.queued[o.Attempt]; !queued {
		r.t.Fatalf("refusal of %s, which is not queued", o.Attempt)
	}
	delete(r.queued, o.Attempt)
	if got, want := o.Refusal.Verdict, verd.NotRun; got != want {
		r.t.Fatalf("verdict: got %v, want %v", got, want)
	}
	if o.Refusal.Code != refuse.Moved && o.Refusal.Retry <= 0 {
		r.t.Fatalf("retry of %s: got %v, want a retry time", o.Refusal.Code, o.Refusal.Retry)
	}
}

func (r *checker) report() {
	rep := report.Report{At: r.now, Boot: fmt.Sprint("b", r.boot), Slots: r.slots, Batch: r.batch, Running: map[string]int{}}
	if r.reportedBoot != r.boot {
		clear(r.pinned)
	}
	for model, state := range r.held {
		if state == "resident" || state == "unloading" && !r.lostUnloads[model] {
			rep.Resident = append(rep.Resident, model)
		}
	}
	r.reportedBoot = r.boot
	r.apply(r.s.Report(r.now, rep))
}

// step takes one random step.
func (r *checker) step() {
	r.now = r.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(r.t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 12).Draw(r.t, "step") {
	case 0, 1, 2, 3:
		r.submit()
	case 4, 5:
		r.finish(rapid.IntRange(0, 50).Draw(r.t, "tokens"))
	case 6:
		r.confirmLoad(rapid.IntRange(0, 3).Draw(r.t, "luck") == 0)
	case 7:
		r.confirmUnload(rapid.SampledFrom([]string{"works", "works", "fails", "unsent"}).Draw(r.t, "luck"))
	case 8:
		r.pin()
	case 9:
		r.cancel()
	case 10:
		if rapid.IntRange(0, 3).Draw(r.t, "luck") == 0 {
			r.crash()
			return
		}
		r.report()
	case 11:
		r.confirmUnordered()
	default:
		r.apply(r.s.Tick(r.now))
	}
}

// confirmUnordered confirms what was not ordered, as a caller may after a restart.
func (r *checker) confirmUnordered() {
	model := rapid.SampledFrom([]string{"m1@", "m2@", "m7@"}).Draw(r.t, "stray")
	if r.held[model] != "loading" {
		r.apply(r.s.Loaded(r.now, model, nil))
	}
	if r.held[model] != "unloading" {
		r.apply(r.s.Unloaded(r.now, model, nil))
	}
}

func (r *checker) submit() {
	r.serial++
	c := call.Call{
		Attempt:  fmt.Sprint("a", r.serial),
		Tenant:   rapid.SampledFrom([]string{"t1", "t2"}).Draw(r.t, "tenant"),
		Adapter:  rapid.SampledFrom([]string{"", "m1", "m2", "m3", "m4", "m5", "m6"}).Draw(r.t, "adapter"),
		Priority: rapid.IntRange(0, 1).Draw(r.t, "priority"),
		Tokens:   rapid.IntRange(0, 200).Draw(r.t, "expected"),
	}
	if rapid.IntRange(0, 2).Draw(r.t, "hurry") == 0 {
		c.Deadline = r.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(r.t, "deadline")) * time.Millisecond)
	}
	r.queued[c.Attempt] = c
	r.apply(r.s.Submit(r.now, c))
	r.apply(r.s.Submit(r.now, c))
}

// minKey returns the smallest key, so that the choice does not depend on the map order.
func minKey[V any](from map[string]V) string {
	least := ""
	for key := range from {
		if least == "" || key < least {
			least = key
		}
	}
	return least
}

func (r *checker) finish(tokens int) {
	attempt := minKey(r.running)
	delete(r.running, attempt)
	r.apply(r.s.Finish(r.now, attempt, tokens))
}

func (r *checker) cancel() {
	attempt := minKey(r.queued)
	delete(r.queued, attempt)
	r.apply(r.s.Cancel(r.now, attempt))
	r.apply(r.s.Cancel(r.now, minKey(r.running)))
}

func (r *checker) pin() {
	model := rapid.SampledFrom([]string{"m1@", "m2@", "m3@"}).Draw(r.t, "pin")
	r.pinned[model] = !r.pinned[model]
	if r.pinned[model] {
		r.apply(r.s.Pin(model))
		return
	}
	r.apply(r.s.Unpin(model))
}

// crash empties the engine, which the scheduler learns from the next report.
func (r *checker) crash() {
	r.boot++
	for model, state := range r.held {
		switch state {
		case "resident":
			r.held[model] = "lost"
		case "unloading":
			r.lostUnloads[model] = true
		}
	}
}

// drainQueue lets all work in progress succeed until nothing is queued.
func (r *checker) drainQueue() {
	for model, pinned := range r.pinned {
		if pinned {
			r.pinned[model] = false
			r.apply(r.s.Unpin(model))
		}
	}
	r.report()
	for round := 0; len(r.queued) > 0; round++ {
		if round > 500 {
			r.t.Fatalf("%d attempts were neither started nor refused", len(r.queued))
		}
		r.now = r.now.Add(200 * time.Millisecond)
		r.confirmLoad(false)
		r.confirmUnload("works")
		if len(r.running) > 0 {
			r.finish(10)
		}
		r.apply(r.s.Tick(r.now))
	}
}
