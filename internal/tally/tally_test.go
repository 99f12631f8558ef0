package tally_test

import (
	"fmt"
	"testing"
	"time"

	"damaskreach/internal/block"
	"damaskreach/internal/tally"
)

const (
	blockTime = 10 * time.Minute
	minBreaks = 3
)

var start = time.Unix(1000, 0)

func newTally() *tally.Tally { return tally.NewTally(0, blockTime, 100, 100) }

// record counts a break of another upstream and blocks the key as its users do.
func record(t *tally.Tally, n int, now time.Time) {
	t.Add("k", fmt.Sprint("u", n), now.UnixMilli(), now)
	if (t.Count("k", now) >= minBreaks || t.OnTrial("k", now)) && !t.Blocked("k", now) {
		t.Block("k", now)
	}
}

// A request that crashes upstreams comes every ten seconds for three days. If each block were as short as the first, it would take down upstreams for as
// long as it comes.
func TestRequestThatKeepsComingCrashesFewUpstreams(t *testing.T) {
	const days = 3
	k := newTally()
	crashes := 0
	for at := time.Duration(0); at < days*24*time.Hour; at += 10 * time.Second {
		if !k.Blocked("k", start.Add(at)) {
			record(k, crashes, start.Add(at))
			crashes++
		}
	}
	if got, want := crashes, minBreaks+3+days; got > want {
		t.Errorf("%d upstreams crashed in %d days, want %d at most", got, days, want)
	}
}

// A request was blocked although it was not to blame. The first that is let through shows that, and the next ones must be served at once.
func TestSoundRequestOnTrialIsFree(t *testing.T) {
	k := newTally()
	for n := range minBreaks {
		record(k, n, start)
	}
	after := start.Add(blockTime)
	if k.Blocked("k", after) || !k.OnTrial("k", after) {
		t.Fatalf("blocked %v, on trial %v after %v, want only the latter", k.Blocked("k", after), k.OnTrial("k", after), blockTime)
	}
	k.RecordSound("k", after)
	record(k, minBreaks, after.Add(5*time.Second))
	if k.Blocked("k", after.Add(5*time.Second)) || k.OnTrial("k", after.Add(5*time.Second)) {
		t.Error("blocked or on trial by one break after it ran well, want neither")
	}
}

// A host starts while a key is blocked, or on trial. By the rows it must know as much as the hosts before, and no row may block a key for ever.
func TestRestoredBlocksHoldAsBefore(t *testing.T) {
	for _, c := range []struct {
		name             string
		stored           block.Block
		blocked, onTrial bool
		afterBreak       time.Duration // length of the block after one more break; 0 for none
	}{
		{"blocked", block.Block{Until: start.Add(time.Minute), Times: 1}, true, false, 0},
		{"on trial", block.Block{Until: start.Add(-time.Minute), Times: 1}, false, true, 8 * blockTime},
		{"on trial again", block.Block{Until: start.Add(-time.Minute), Times: 2}, false, true, 64 * blockTime},
		{"long ago", block.Block{Until: start.Add(-time.Hour), Times: 1}, false, false, 0},
		{"by a wrong clock", block.Block{Until: start.Add(1000 * time.Hour), Times: 1 << 40}, true, false, 0},
	} {
		k := newTally()
		k.Restore(map[string]block.Block{"k": c.stored}, start)
		if blocked, onTrial := k.Blocked("k", start), k.OnTrial("k", start); blocked != c.blocked || onTrial != c.onTrial {
			t.Errorf("%s: blocked %v, on trial %v, want %v, %v", c.name, blocked, onTrial, c.blocked, c.onTrial)
		}
		if k.Blocked("k", start.Add(25*time.Hour)) {
			t.Errorf("%s: blocked for more than a day, want an end", c.name)
		}
		if c.afterBreak == 0 {
			continue
		}
		record(k, 0, start)
		if got := k.Blocks(1, start)["k"].Until.Sub(start); got != c.afterBreak {
			t.Errorf("%s: blocked for %v after one more break, want %v", c.name, got, c.afterBreak)
		}
	}
}

// Many keys are blocked. Those whose blocks end first must give way, for rows are bounded.
func TestLongestBlocksAreKept(t *testing.T) {
	k := newTally()
	for n := range 20 {
		k.Block(fmt.Sprint(n), start.Add(time.Duration(n)*time.Second))
	}
	got := k.Blocks(5, start)
	if _, ok := got["19"]; len(got) != 5 || !ok {
		t.Errorf("kept %v, want the last five", got)
	}
}
