package ration_test

import (
	"testing"
	"time"

	"damaskreach/internal/notice"
	"damaskreach/internal/ration"
)

// counter is a Ration whose clock the test moves.
type counter struct {
	*ration.Ration
	now time.Duration
}

func newCounter() *counter {
	c := &counter{now: time.Hour}
	c.Ration = ration.NewRation(func() time.Duration { return c.now })
	return c
}

// take asks for one request every 10 ms for a time, and returns how many may go.
func (c *counter) take(lasts time.Duration) int {
	n := 0
	for end := c.now + lasts; c.now < end; c.now += 10 * time.Millisecond {
		if c.Take("u") == 0 {
			n++
		}
	}
	return n
}

// An upstream in need would get a burst of requests as soon as it says so, were its bucket full.
func TestLimitHoldsFromTheFirstWord(t *testing.T) {
	for limit, most := range map[float64]int{0: 1, 0.1: 1, 1.1: 5, 6: 25} {
		c := newCounter()
		c.Hear("u", notice.Notice{Limited: true, Limit: limit})
		if got := c.take(4 * time.Second); got > most || got < most-2 {
			t.Errorf("%v a second: %d requests in the first 4 s, want %d or hardly less", limit, got, most)
		}
		c.now += time.Minute
		if got, want := c.take(4*time.Second), int(5*max(limit, 0.4)+2); got > want {
			t.Errorf("%v a second: %d requests in 4 s after a minute without any, want %d at most", limit, got, want)
		}
	}
}

// Hosts hear of the end of a limit one after the other; the word of one that is behind must not bring the limit back, nor end a newer one.
func TestNewestWordCounts(t *testing.T) {
	c := newCounter()
	c.Told("u", 1, 2*time.Second)
	if !c.Told("u", 0, time.Second) || c.Limited("u") {
		t.Error("still limited after a newer word that it is not")
	}
	if c.Told("u", 1, 1500*time.Millisecond) || c.Limited("u") {
		t.Error("limited by a word older than the one that ended it")
	}
	c.Hear("u", notice.Notice{Limited: true, Limit: 3})
	if c.Told("u", 0, time.Millisecond) || !c.Limited("u") {
		t.Error("not limited though the newest word says so")
	}
	c.now += time.Second
	if rate, age, ok := c.Newest("u"); !ok || rate != 3 || age != time.Second {
		t.Errorf("newest = %v a second, %v ago, %v, want 3 a second, a second ago", rate, age, ok)
	}
}

// A limit that is lowered while requests wait for it must not let those through that the old one would have.
func TestLoweredLimitHoldsAtOnce(t *testing.T) {
	c := newCounter()
	c.Hear("u", notice.Notice{Limited: true, Limit: 20})
	c.take(3 * time.Second)
	c.now += 5 * time.Second
	c.Hear("u", notice.Notice{Limited: true, Limit: 1})
	if got, most := c.take(4*time.Second), 5; got > most {
		t.Errorf("%d requests in 4 s after the limit was lowered to 1, want %d at most", got, most)
	}
}

// What is gone is forgotten, and what names no limit costs nothing.
func TestNoLimitLetsEverythingThrough(t *testing.T) {
	c := newCounter()
	c.Hear("u", notice.Notice{})
	if got, want := c.take(time.Second), 100; got != want {
		t.Errorf("%d requests, want %d", got, want)
	}
	c.Hear("u", notice.Notice{Limited: true, Limit: 1})
	c.Forget(func(string) bool { return true })
	if wait, gap := c.Wait("u"); wait != 0 || gap != 0 {
		t.Errorf("wait %v, gap %v at an upstream that is gone, want none", wait, gap)
	}
}

// Limits begin, are told anew, end and go with their upstreams. Were one left out of the count of limits, the upstream that names it would get
// whatever comes.
func TestSomeUpstreamIsLimitedAsLongAsOneIs(t *testing.T) {
	c := newCounter()
	want := func(when string, some bool) {
		t.Helper()
		if got := c.Some(); got != some {
			t.Errorf("%s: some limited = %v, want %v", when, got, some)
		}
	}
	c.Hear("u", notice.Notice{})
	want("after an answer without a limit", false)
	c.Hear("u", notice.Notice{Limited: true, Limit: 3})
	c.Hear("u", notice.Notice{Limited: true, Limit: 4})
	c.Hear("v", notice.Notice{Limited: true, Limit: 4})
	c.Hear("u", notice.Notice{})
	want("with one of two", true)
	c.Forget(func(id string) bool { return id == "v" })
	want("after the other is gone", false)
	c.Told("v", 2, 0)
	want("told by another host", true)
}
