package poison_test

import (
	"fmt"
	"testing"
	"time"

	"damaskreach/internal/poison"
)

var start = time.Unix(1000, 0)

func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// exchange passes the reports of each host on to all others.
func exchange(now time.Time, hosts ...*poison.Poison) {
	for _, from := range hosts {
		list := from.TakePending()
		for _, to := range hosts {
			if to != from {
				to.AddReports(list, now)
			}
		}
	}
}

// Requests with a part come at one host after the other, and each sees one crash. All hosts must block the part, and none the opening that
// sound prompts share with it.
func TestPartIsBlockedOnAllHosts(t *testing.T) {
	hosts := []*poison.Poison{poison.NewPoison(), poison.NewPoison(), poison.NewPoison(), poison.NewPoison()}
	for i, h := range hosts[:3] {
		h.RecordCrash([]string{"opening", "x", fmt.Sprint("own", i)}, fmt.Sprint("e", i), after(float64(i)))
		exchange(after(float64(i)), hosts...)
	}
	for i, h := range hosts {
		if got, want := h.Blocked([]string{"opening", "x", "other"}, after(3)), "x"; got != want {
			t.Errorf("host %d blocks %q, want %q", i, got, want)
		}
		if got := h.Blocked([]string{"opening", "y"}, after(3)); got != "" {
			t.Errorf("host %d blocks %q of a sound prompt, want nothing", i, got)
		}
		if got := h.Blocked([]string{"x"}, after(3600)); got != "" {
			t.Errorf("host %d still blocks %q an hour later", i, got)
		}
	}
}

// Engines crash under a part that many prompts hold, for another reason, and hosts with few requests hear of that. As soon as a request with it
// runs well anywhere, no host may hold the crashes against it.
func TestPartThatRunsWellElsewhereIsNotBlocked(t *testing.T) {
	busy, idle, crashing := poison.NewPoison(), poison.NewPoison(), poison.NewPoison()
	for i := range 8 {
		now := after(2.5 * float64(i))
		busy.RecordSound([]string{"opening"}, now)
		crashing.RecordCrash([]string{"opening", fmt.Sprint("own", i)}, fmt.Sprint("e", i), now)
		exchange(now, crashing, idle, busy)
		exchange(now, crashing, idle, busy)
		for name, h := range map[string]*poison.Poison{"busy": busy, "idle": idle, "crashing": crashing} {
			if got := h.Blocked([]string{"opening"}, now); got != "" {
				t.Fatalf("the %s host blocks %q after %d crashes, want nothing", name, got, i+1)
			}
		}
	}
}

// Many engines crash at once with requests that all begin alike. That opening ran well a moment ago, so it is not the cause.
func TestCrashesTogetherBlameNoPartThatJustRanWell(t *testing.T) {
	p := poison.NewPoison()
	p.RecordSound([]string{"opening"}, start)
	for i := range 6 {
		p.RecordCrash([]string{"opening"}, fmt.Sprint("e", i), after(0.5))
	}
	if got := p.Blocked([]string{"opening"}, after(1)); got != "" {
		t.Errorf("blocks %q, want nothing", got)
	}
}

// Many engines crash together, under requests that share a part which did not run well here lately. Hosts hear of that one after the other. Something
// else ended all the engines at once, and neither a block nor a suspicion may follow.
func TestEnginesThatCrashTogetherCountOnce(t *testing.T) {
	seen, told := poison.NewPoison(), poison.NewPoison()
	for i := range 6 {
		seen.RecordCrash([]string{"x"}, fmt.Sprint("e", i), after(0.02*float64(i)))
		exchange(after(float64(i)), seen, told)
	}
	for name, p := range map[string]*poison.Poison{"seen": seen, "told": told} {
		if p.Blocked([]string{"x"}, after(6)) != "" || p.Suspected([]string{"x"}, after(6)) {
			t.Errorf("%s: the part is blocked or suspected, want neither", name)
		}
	}
}

// One engine crashes with many requests that share a part, reported by several hosts. It is one crash.
func TestCrashOfOneEngineCountsOnce(t *testing.T) {
	p := poison.NewPoison()
	for range 5 {
		p.RecordCrash([]string{"x"}, "e", start)
	}
	p.AddReports([]string{"crash e 1000500 x", "crash e 1000900 x,y"}, start)
	if p.Suspected([]string{"x"}, start) {
		t.Error("suspected after one crash, want it sent again")
	}
	if got, want := len(p.TakePending()), 1; got != want {
		t.Errorf("%d reports, want %d", got, want)
	}
	p.RecordCrash([]string{"x"}, "f", after(0.5))
	if !p.Suspected([]string{"x"}, start) {
		t.Error("not suspected after two crashes, want no further try")
	}
}

// A host starts while a part is blocked, and reads that from the store.
func TestBlockIsRestored(t *testing.T) {
	before, restarted := poison.NewPoison(), poison.NewPoison()
	for i := range 3 {
		before.RecordCrash([]string{"x"}, fmt.Sprint("e", i), after(float64(i)))
	}
	restarted.Restore(before.Blocks(after(2)), after(2))
	if got, want := restarted.Blocked([]string{"x"}, after(3)), "x"; got != want {
		t.Errorf("blocks %q, want %q", got, want)
	}
}

// A caller names hosts' own words or nothing at all as parts of its prompts. Reports must not fail on that.
func TestOddReportsAreIgnored(t *testing.T) {
	p := poison.NewPoison()
	blocked := p.AddReports([]string{"", "crash", "crash ", "crash e", "crash e ", "crash e x", "crash e 1 ", "crash e now x", "sound ", "x"}, start)
	if len(blocked) > 0 {
		t.Errorf("blocked %q, want nothing", blocked)
	}
}
