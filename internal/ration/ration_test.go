package ration_test

import (
	"testing"
	"time"

	"damaskreach/internal/notice"
	"damaskreach/internal/ration"
)

// fakeRation is a Ration with a clock that the test advances.
type fakeRation struct {
	*ration.Ration
	now time.Duration
}

func newFakeRation() *fakeRation {
	c := &fakeRation{now: time.Hour}
	c.Ration = ration.NewRation(func() time.Duration { return c.now })
	return c
}

// countAllowed tries a request every 10 ms for a time and returns how many are allowed.
func (c *fakeRation) countAllowed(lasts time.Duration) int {
	n := 0
	for end := c.now + lasts; c.now < end; c.now += 10 * time.Millisecond {
		if c.Take("u") == 0 {
			n++
		}
	}
	return n
}

// With a full bucket, an overloaded upstream would get a burst of requests as soon as it announces a limit.
func TestNewLimitStartsWithoutBurst(t *testing.T) {
	for limit, maxCount := range map[float64]int{0: 1, 0.1: 1, 1.1: 5, 6: 25} {
		c := newFakeRation()
		c.Observe("u", notice.Notice{Limited: true, Limit: limit})
		if got := c.countAllowed(4 * time.Second); got > maxCount || got < maxCount-2 {
			t.Errorf("%v a second: %d requests in the first 4 s, want %d or hardly less", limit, got, maxCount)
		}
		c.now += time.Minute
		if got, want := c.countAllowed(4*time.Second), int(5*max(limit, 0.4)+2); got > want {
			t.Errorf("%v a second: %d requests in 4 s after a minute without any, want %d at most", limit, got, want)
		}
	}
}

// Hosts learn of the end of a limit at different times; an older report must neither restore a limit nor end a newer one.
func TestLatestReportWins(t *testing.T) {
	c := newFakeRation()
	c.Update("u", 1, 2*time.Second)
	if !c.Update("u", 0, time.Second) || c.Limited("u") {
		t.Error("still limited after a newer report without a limit")
	}
	if c.Update("u", 1, 1500*time.Millisecond) || c.Limited("u") {
		t.Error("limited by a report older than the one that ended the limit")
	}
	c.Observe("u", notice.Notice{Limited: true, Limit: 3})
	if c.Update("u", 0, time.Millisecond) || !c.Limited("u") {
		t.Error("not limited though the newest report has a limit")
	}
	c.now += time.Second
	if rate, age, ok := c.Latest("u"); !ok || rate != 3 || age != time.Second {
		t.Errorf("newest = %v a second, %v ago, %v, want 3 a second, a second ago", rate, age, ok)
	}
}

// A limit is lowered while the bucket is full. The units of the old limit must not be used.
func TestLoweredLimitAppliesAtOnce(t *testing.T) {
	c := newFakeRation()
	c.Observe("u", notice.Notice{Limited: true, Limit: 20})
	c.countAllowed(3 * time.Second)
	c.now += 5 * time.Second
	c.Observe("u", notice.Notice{Limited: true, Limit: 1})
	if got, maxCount := c.countAllowed(4*time.Second), 5; got > maxCount {
		t.Errorf("%d requests in 4 s after the limit was lowered to 1, want %d at most", got, maxCount)
	}
}

// Upstreams without a limit and removed ones must not delay requests.
func TestUnlimitedUpstreamIsNotDelayed(t *testing.T) {
	c := newFakeRation()
	c.Observe("u", notice.Notice{})
	if got, want := c.countAllowed(time.Second), 100; got != want {
		t.Errorf("%d requests, want %d", got, want)
	}
	c.Observe("u", notice.Notice{Limited: true, Limit: 1})
	c.Forget(func(string) bool { return true })
	if wait, gap := c.Wait("u"); wait != 0 || gap != 0 {
		t.Errorf("wait %v, gap %v at an upstream that is gone, want none", wait, gap)
	}
}

// Limits begin, change, end and go with their upstreams. If the count of limited upstreams missed a limit, it would not be enforced.
func TestAnyLimitedCountsLimitedUpstreams(t *testing.T) {
	c := newFakeRation()
	checkAnyLimited := func(when string, some bool) {
		t.Helper()
		if got := c.AnyLimited(); got != some {
			t.Errorf("%s: some limited = %v, want %v", when, got, some)
		}
	}
	c.Observe("u", notice.Notice{})
	checkAnyLimited("after an answer without a limit", false)
	c.Observe("u", notice.Notice{Limited: true, Limit: 3})
	c.Observe("u", notice.Notice{Limited: true, Limit: 4})
	c.Observe("v", notice.Notice{Limited: true, Limit: 4})
	c.Observe("u", notice.Notice{})
	checkAnyLimited("with one of two", true)
	c.Forget(func(id string) bool { return id == "v" })
	checkAnyLimited("after the other is gone", false)
	c.Update("v", 2, 0)
	checkAnyLimited("after a report of another host", true)
}
