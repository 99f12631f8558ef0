package place_test

import (
	"fmt"
	"testing"
	"time"

	"damaskreach/internal/call"
	"damaskreach/internal/digest"
	"damaskreach/internal/place"
	"damaskreach/internal/tune"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func at(after time.Duration) time.Time {
	return start.Add(after)
}

func engine(name string, resident ...string) digest.Digest {
	return digest.Digest{Runner: name, Group: "g", Number: 1, Slots: 4, Free: 4 - len(resident), Batch: 8, Resident: resident}
}

// fresh returns a home that knows some runners.
func fresh(known ...digest.Digest) *place.Place {
	p := place.NewPlace(tune.Default())
	for _, d := range known {
		p.Learn(start, d)
	}
	return p
}

func ask(attempt, adapter string) call.Call {
	return call.Call{ID: attempt, Key: attempt, Attempt: attempt, Tenant: "t", Adapter: adapter, Version: "1", Group: "g", Tokens: 100}
}

func choose(t *testing.T, p *place.Place, now time.Time, c call.Call, avoid ...string) string {
	t.Helper()
	d, why, refusal := p.Choose(now, c, avoid)
	if refusal != nil {
		t.Fatalf("choice for %s: got %v, want a runner", c.Attempt, refusal)
	}
	if why.Text == "" || why.Runner != d.Runner {
		t.Errorf("reason: got %+v, want one about %s", why, d.Runner)
	}
	return d.Runner
}

func TestGoesWhereTheModelIsResident(t *testing.T) {
	p := fresh(engine("r1"), engine("r2", "red@1"), engine("r3"))
	if got, want := choose(t, p, at(0), ask("a1", "red")), "r2"; got != want {
		t.Errorf("runner: got %s, want %s", got, want)
	}
}

func TestRequestsForOneColdModelShareItsLoad(t *testing.T) {
	p := fresh(engine("r1"), engine("r2"), engine("r3"))
	first := choose(t, p, at(0), ask("a1", "red"))
	for n := 2; n < 6; n++ {
		if got, want := choose(t, p, at(0), ask(fmt.Sprint("a", n), "red")), first; got != want {
			t.Errorf("runner of a%d: got %s, want %s", n, got, want)
		}
	}
}

func TestHotModelGetsAnotherCopyOnceItsOwnIsFull(t *testing.T) {
	full := engine("r1", "red@1")
	full.Running, full.Waiting = 8, 8
	p := fresh(full, engine("r2"))
	if got, want := choose(t, p, at(0), ask("a1", "red")), "r2"; got != want {
		t.Errorf("runner: got %s, want %s", got, want)
	}
}

func TestOlderDigestsAreDropped(t *testing.T) {
	p := fresh(engine("r1"), engine("r2"))
	newer, older := engine("r1", "red@1"), engine("r1")
	newer.Fence, newer.Number = 2, 1
	older.Fence, older.Number = 1, 9
	p.Learn(at(0), newer)
	p.Learn(at(0), older)
	if got, want := choose(t, p, at(0), ask("a1", "red")), "r1"; got != want {
		t.Errorf("runner: got %s, want %s", got, want)
	}
}

// A request crashes the runner that has it, and its impatient caller has sent it three times at once.
// Spread over the runners, the three would take three of them down and everybody's answers with them.
func TestTheSameRequestStaysOnOneRunner(t *testing.T) {
	p := fresh(engine("r1", "red@1"), engine("r2", "red@1"), engine("r3", "red@1"))
	same := ask("a1", "red")
	same.Key = "k"
	first := choose(t, p, at(0), same)
	for n := 2; n < 5; n++ {
		if got, want := choose(t, p, at(0), same.WithAttempt(fmt.Sprint("a", n))), first; got != want {
			t.Errorf("runner of a%d: got %s, want %s", n, got, want)
		}
	}
}

// Digests lag: in the meantime a burst would go to one runner that looks empty in all of them.
func TestOwnChoicesCountBeforeDigestsShowThem(t *testing.T) {
	p := fresh(engine("r1", "red@1"), engine("r2", "red@1"))
	count := map[string]int{}
	for n := range 16 {
		count[choose(t, p, at(0), ask(fmt.Sprint("a", n), "red"))]++
	}
	for runner, got := range count {
		if want := 8; got > want {
			t.Errorf("requests on %s: got %d, want at most its batch of %d", runner, got, want)
		}
	}
}

// A runner answers with errors only. Callers would see every request that is placed there fail,
// and a runner that is never tried again would stay out of use after it is well.
func TestSickRunnerIsAvoidedAndProbed(t *testing.T) {
	p := fresh(engine("r1", "red@1"), engine("r2"))
	cut := refuse.NewRefusal(verd.MayHaveRun, refuse.Cut, "reset")
	for n := range 3 {
		c := ask(fmt.Sprint("a", n), "red")
		p.Settle(at(0), c, choose(t, p, at(0), c), cut)
	}
	if got, want := choose(t, p, at(0), ask("b1", "red")), "r2"; got != want {
		t.Errorf("runner while r1 is sick: got %s, want %s", got, want)
	}
	once := ask("b0", "red")
	once.Once = true
	if got, want := choose(t, p, at(2*time.Second), once), "r2"; got != want {
		t.Errorf("runner of a call that may not be repeated: got %s, want %s", got, want)
	}
	probe := ask("b2", "red")
	if got, want := choose(t, p, at(2*time.Second), probe), "r1"; got != want {
		t.Fatalf("probe: got %s, want %s", got, want)
	}
	if got, want := choose(t, p, at(2*time.Second), ask("b3", "red")), "r2"; got != want {
		t.Errorf("runner during the probe: got %s, want %s", got, want)
	}
	p.Settle(at(3*time.Second), probe, "r1", nil)
	if got, want := choose(t, p, at(3*time.Second), ask("b4", "red")), "r1"; got != want {
		t.Errorf("runner after the probe: got %s, want %s", got, want)
	}
}

// A slow engine fails nothing. Taken for a sick one it would be left out just when the others are busy.
func TestSlowRunnerIsNotSick(t *testing.T) {
	p := fresh(engine("r1", "red@1"))
	for n := range 6 {
		c := ask(fmt.Sprint("a", n), "red")
		runner := choose(t, p, at(0), c)
		p.Settle(at(5*time.Minute), c, runner, nil)
	}
	p.Learn(at(5*time.Minute), engine("r2"))
	if got, want := choose(t, p, at(5*time.Minute), ask("b", "red")), "r1"; got != want {
		t.Errorf("runner: got %s, want %s", got, want)
	}
}

// Every queue is full as far as the digests show. A home that refused on them would refuse what fits by now,
// and the small tenant along with the one that fills the queues; so an owner has to have said no first.
func TestRefusesOnlyWhatFitsNowhere(t *testing.T) {
	full := engine("r1", "red@1")
	full.Running, full.Waiting = 8, tune.Default().Queue
	p := fresh(full)
	first := ask("a1", "red")
	if got, want := choose(t, p, at(0), first), "r1"; got != want {
		t.Fatalf("owner to decide on a queue that looked full: got %s, want %s", got, want)
	}
	p.Settle(at(0), first, "r1", refuse.NewRefusal(verd.NotRun, refuse.Overloaded, "full"))
	_, _, refusal := p.Choose(at(0), first, []string{"r1"})
	if refusal == nil || refusal.Code != refuse.Overloaded || refusal.Retry <= 0 {
		t.Fatalf("refusal: got %v, want %s with a time to come back", refusal, refuse.Overloaded)
	}
	full.Number, full.Running = 2, 7
	p.Learn(at(0), full)
	choose(t, p, at(0), ask("a2", "red"))
	_, _, refusal = fresh().Choose(at(0), ask("a3", "red"), nil)
	if refusal == nil || refusal.Code != refuse.NoUpstream || refusal.Verdict != verd.NotRun {
		t.Errorf("refusal: got %v, want %s", refusal, refuse.NoUpstream)
	}
}

func TestPrefixGoesBackToItsRunner(t *testing.T) {
	p := fresh(engine("r1", "red@1"), engine("r2", "red@1"), engine("r3", "red@1"))
	c := ask("a1", "red")
	c.Prefix = "opening"
	first := choose(t, p, at(0), c)
	p.Settle(at(time.Second), c, first, nil)
	for n := 2; n < 6; n++ {
		again := c.WithAttempt(fmt.Sprint("a", n))
		again.Key = again.Attempt
		if got, want := choose(t, p, at(2*time.Second), again), first; got != want {
			t.Errorf("runner of a%d: got %s, want %s", n, got, want)
		}
		p.Settle(at(2*time.Second), again, first, nil)
	}
}

func TestPlainServicesGetTheLeastLoaded(t *testing.T) {
	busy, idle := engine("r1"), engine("r2")
	busy.Running = 5
	p := fresh(busy, idle)
	if got, want := choose(t, p, at(0), ask("a1", "")), "r2"; got != want {
		t.Errorf("runner: got %s, want %s", got, want)
	}
}

func BenchmarkChoose(b *testing.B) {
	p := place.NewPlace(tune.Default())
	for n := range 1300 {
		p.Learn(start, engine(fmt.Sprint("r", n), fmt.Sprint("m", n, "@1")))
	}
	for n := range b.N {
		c := ask(fmt.Sprint("a", n), fmt.Sprint("m", n%1300))
		d, _, _ := p.Choose(start, c, nil)
		p.Settle(start, c, d.Runner, nil)
	}
}

// Operators replace a runner that was loading adapters when it was last heard of. Were it kept, its loads would count
// against the weight store for good, and callers would be sent to far busier runners to save a load that takes no time.
func TestRemovedRunnersAreForgotten(t *testing.T) {
	gone := engine("old")
	gone.Loading = []string{"a@1", "b@1", "c@1", "d@1", "e@1", "f@1"}
	p := fresh(engine("r1"), engine("r2"), gone)
	_, before, _ := p.Choose(at(0), ask("a1", "red"), []string{"old"})
	p.Sweep(func(runner string) bool { return runner != "old" })
	_, after, _ := p.Choose(at(time.Second), ask("a2", "blue"), nil)
	if got, want := after.Wait, before.Wait/2; got > want {
		t.Errorf("expected wait for a load: got %s, want at most %s, half of what it was", got, want)
	}
	if got := choose(t, p, at(2*time.Second), ask("a3", "green")); got == "old" {
		t.Error("got the removed runner")
	}
}
