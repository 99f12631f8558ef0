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

func newDigest(name string, resident ...string) digest.Digest {
	return digest.Digest{Runner: name, Group: "g", Number: 1, Slots: 4, Free: 4 - len(resident), Batch: 8, Resident: resident}
}

// newPlace returns a Place that knows the given runners.
func newPlace(known ...digest.Digest) *place.Place {
	p := place.NewPlace(tune.Default())
	for _, d := range known {
		p.UpdateDigest(start, d)
	}
	return p
}

func newCall(attempt, adapter string) call.Call {
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

func TestChoosePrefersResidentModel(t *testing.T) {
	p := newPlace(newDigest("r1"), newDigest("r2", "red@1"), newDigest("r3"))
	if got, want := choose(t, p, at(0), newCall("a1", "red")), "r2"; got != want {
		t.Errorf("runner: got %s, want %s", got, want)
	}
}

func TestColdModelIsLoadedOnOneRunner(t *testing.T) {
	p := newPlace(newDigest("r1"), newDigest("r2"), newDigest("r3"))
	first := choose(t, p, at(0), newCall("a1", "red"))
	for n := 2; n < 6; n++ {
		if got, want := choose(t, p, at(0), newCall(fmt.Sprint("a", n), "red")), first; got != want {
			t.Errorf("runner of a%d: got %s, want %s", n, got, want)
		}
	}
}

func TestFullRunnerMakesModelLoadElsewhere(t *testing.T) {
	full := newDigest("r1", "red@1")
	full.Running, full.Waiting = 8, 8
	p := newPlace(full, newDigest("r2"))
	if got, want := choose(t, p, at(0), newCall("a1", "red")), "r2"; got != want {
		t.Errorf("runner: got %s, want %s", got, want)
	}
}

func TestOlderDigestsAreIgnored(t *testing.T) {
	p := newPlace(newDigest("r1"), newDigest("r2"))
	newer, older := newDigest("r1", "red@1"), newDigest("r1")
	newer.Fence, newer.Number = 2, 1
	older.Fence, older.Number = 1, 9
	p.UpdateDigest(at(0), newer)
	p.UpdateDigest(at(0), older)
	if got, want := choose(t, p, at(0), newCall("a1", "red")), "r1"; got != want {
		t.Errorf("runner: got %s, want %s", got, want)
	}
}

// A request crashes its runner, and an impatient caller has sent it three times at once. Spread over the runners, the
// copies would crash three of them and cut the answers of all other callers there.
func TestDuplicateRequestsShareOneRunner(t *testing.T) {
	p := newPlace(newDigest("r1", "red@1"), newDigest("r2", "red@1"), newDigest("r3", "red@1"))
	same := newCall("a1", "red")
	same.Key = "k"
	first := choose(t, p, at(0), same)
	for n := 2; n < 5; n++ {
		if got, want := choose(t, p, at(0), same.WithAttempt(fmt.Sprint("a", n))), first; got != want {
			t.Errorf("runner of a%d: got %s, want %s", n, got, want)
		}
	}
}

// Digests lag: a burst would go to one runner that looks empty in all of them.
func TestOwnChoicesCountBeforeDigestsReflectThem(t *testing.T) {
	p := newPlace(newDigest("r1", "red@1"), newDigest("r2", "red@1"))
	count := map[string]int{}
	for n := range 16 {
		count[choose(t, p, at(0), newCall(fmt.Sprint("a", n), "red"))]++
	}
	for runner, got := range count {
		if want := 8; got > want {
			t.Errorf("requests on %s: got %d, want at most its batch of %d", runner, got, want)
		}
	}
}

// A runner answers with errors only. Requests placed there would all fail, and a runner that is never probed would stay out
// of use after it has recovered.
func TestUnhealthyRunnerIsAvoidedAndProbed(t *testing.T) {
	p := newPlace(newDigest("r1", "red@1"), newDigest("r2"))
	cut := refuse.NewRefusal(verd.MayHaveRun, refuse.Cut, "reset")
	for n := range 3 {
		c := newCall(fmt.Sprint("a", n), "red")
		p.Settle(at(0), c, choose(t, p, at(0), c), cut)
	}
	if got, want := choose(t, p, at(0), newCall("b1", "red")), "r2"; got != want {
		t.Errorf("runner while r1 is unhealthy: got %s, want %s", got, want)
	}
	once := newCall("b0", "red")
	once.NonIdempotent = true
	if got, want := choose(t, p, at(2*time.Second), once), "r2"; got != want {
		t.Errorf("runner of a call that may not be repeated: got %s, want %s", got, want)
	}
	probe := newCall("b2", "red")
	if got, want := choose(t, p, at(2*time.Second), probe), "r1"; got != want {
		t.Fatalf("probe: got %s, want %s", got, want)
	}
	if got, want := choose(t, p, at(2*time.Second), newCall("b3", "red")), "r2"; got != want {
		t.Errorf("runner during the probe: got %s, want %s", got, want)
	}
	p.Settle(at(3*time.Second), probe, "r1", nil)
	if got, want := choose(t, p, at(3*time.Second), newCall("b4", "red")), "r1"; got != want {
		t.Errorf("runner after the probe: got %s, want %s", got, want)
	}
}

// A slow engine doesn't fail requests. If it counted as unhealthy, it would be avoided just when the others are busy.
func TestSlowRunnerStaysHealthy(t *testing.T) {
	p := newPlace(newDigest("r1", "red@1"))
	for n := range 6 {
		c := newCall(fmt.Sprint("a", n), "red")
		runner := choose(t, p, at(0), c)
		p.Settle(at(5*time.Minute), c, runner, nil)
	}
	p.UpdateDigest(at(5*time.Minute), newDigest("r2"))
	if got, want := choose(t, p, at(5*time.Minute), newCall("b", "red")), "r1"; got != want {
		t.Errorf("runner: got %s, want %s", got, want)
	}
}

// All queues look full in the digests, which may be outdated. A home that refused on them would refuse requests that fit by
// now, also those of small tenants; so it refuses only after an owner has.
func TestChooseRefusesOnlyAfterOwnerRefused(t *testing.T) {
	full := newDigest("r1", "red@1")
	full.Running, full.Waiting = 8, tune.Default().Queue
	p := newPlace(full)
	first := newCall("a1", "red")
	if got, want := choose(t, p, at(0), first), "r1"; got != want {
		t.Fatalf("runner whose queue looked full: got %s, want %s", got, want)
	}
	p.Settle(at(0), first, "r1", refuse.NewRefusal(verd.NotRun, refuse.Overloaded, "full"))
	_, _, refusal := p.Choose(at(0), first, []string{"r1"})
	if refusal == nil || refusal.Code != refuse.Overloaded || refusal.Retry <= 0 {
		t.Fatalf("refusal: got %v, want %s with a retry delay", refusal, refuse.Overloaded)
	}
	full.Number, full.Running = 2, 7
	p.UpdateDigest(at(0), full)
	choose(t, p, at(0), newCall("a2", "red"))
	_, _, refusal = newPlace().Choose(at(0), newCall("a3", "red"), nil)
	if refusal == nil || refusal.Code != refuse.NoUpstream || refusal.Verdict != verd.NotRun {
		t.Errorf("refusal: got %v, want %s", refusal, refuse.NoUpstream)
	}
}

func TestPrefixReturnsToItsRunner(t *testing.T) {
	p := newPlace(newDigest("r1", "red@1"), newDigest("r2", "red@1"), newDigest("r3", "red@1"))
	c := newCall("a1", "red")
	c.Prefix = "opening"
	first := choose(t, p, at(0), c)
	p.Settle(at(time.Second), c, first, nil)
	for n := 2; n < 6; n++ {
		retry := c.WithAttempt(fmt.Sprint("a", n))
		retry.Key = retry.Attempt
		if got, want := choose(t, p, at(2*time.Second), retry), first; got != want {
			t.Errorf("runner of a%d: got %s, want %s", n, got, want)
		}
		p.Settle(at(2*time.Second), retry, first, nil)
	}
}

func TestRequestWithoutModelGoesToLeastLoaded(t *testing.T) {
	busy, idle := newDigest("r1"), newDigest("r2")
	busy.Running = 5
	p := newPlace(busy, idle)
	if got, want := choose(t, p, at(0), newCall("a1", "")), "r2"; got != want {
		t.Errorf("runner: got %s, want %s", got, want)
	}
}

func BenchmarkChoose(b *testing.B) {
	p := place.NewPlace(tune.Default())
	for n := range 1300 {
		p.UpdateDigest(start, newDigest(fmt.Sprint("r", n), fmt.Sprint("m", n, "@1")))
	}
	for n := range b.N {
		c := newCall(fmt.Sprint("a", n), fmt.Sprint("m", n%1300))
		d, _, _ := p.Choose(start, c, nil)
		p.Settle(start, c, d.Runner, nil)
	}
}

// A runner was removed while it was loading adapters. If it were kept, its loads would count as pending at the weight store
// for good, and requests would go to far busier runners to avoid a load that takes no time.
func TestRemovedRunnersArePruned(t *testing.T) {
	gone := newDigest("old")
	gone.Loading = []string{"a@1", "b@1", "c@1", "d@1", "e@1", "f@1"}
	p := newPlace(newDigest("r1"), newDigest("r2"), gone)
	_, before, _ := p.Choose(at(0), newCall("a1", "red"), []string{"old"})
	p.Prune(func(runner string) bool { return runner != "old" })
	_, after, _ := p.Choose(at(time.Second), newCall("a2", "blue"), nil)
	if got, want := after.Wait, before.Wait/2; got > want {
		t.Errorf("expected wait for a load: got %s, want at most %s, half of what it was", got, want)
	}
	if got := choose(t, p, at(2*time.Second), newCall("a3", "green")); got == "old" {
		t.Error("got the removed runner")
	}
}
