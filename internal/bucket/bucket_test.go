package bucket_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"damaskreach/internal/bucket"
)

// The seed is fixed so that every run tries the same sequences; -rapid.seed tries others.
func init() {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
}

// usage is a number of units taken at a time, and whether they were returned.
type usage struct {
	takenAt  time.Duration
	units    float64
	returned bool
}

// Units of requests that did not run are returned, some long after. If the bucket was full in between, they must not be added
// twice.
func TestReturnsNeverExceedLimitInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1, 20).Draw(t, "rate"))
		burst := float64(rapid.IntRange(1, 40).Draw(t, "burst"))
		b := bucket.NewBucket(rate, burst, 0)
		now, list := time.Duration(0), []usage{}
		for range 80 {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			units := float64(rapid.IntRange(1, 60).Draw(t, "units"))
			if i := rapid.IntRange(0, 2*len(list)).Draw(t, "return"); i < len(list) && !list[i].returned {
				list[i].returned = true
				b.Return(now, list[i].units, list[i].takenAt)
			}
			need := min(units, burst)
			taken, wait := b.Take(now, need, units-need)
			if taken < need {
				now += wait + time.Microsecond
				if taken, wait = b.Take(now, need, units-need); taken < units {
					t.Fatalf("refused after the returned wait, %v more to wait", wait)
				}
			}
			list = append(list, usage{takenAt: now, units: taken})
		}
		checkWithinLimit(t, list, rate, burst)
	})
}

// checkWithinLimit checks each span between two usages: at most the limit, plus the last one's excess over the burst.
func checkWithinLimit(t *rapid.T, list []usage, rate, burst float64) {
	for i, first := range list {
		sum := 0.0
		for _, u := range list[i:] {
			if u.returned {
				continue
			}
			sum += min(u.units, burst)
			if limit := burst + rate*(u.takenAt-first.takenAt).Seconds() + 0.001; sum > limit {
				t.Fatalf("%v units in %v, want at most %v", sum, u.takenAt-first.takenAt, limit)
			}
			sum += u.units - min(u.units, burst)
		}
	}
}

// A limit is lowered far below the level. The units of the old limit must not be given out.
func TestLoweredLimitAppliesAtOnce(t *testing.T) {
	b := bucket.NewBucket(1000, 1000, 0)
	b.SetLimit(10*time.Second, 10, 10)
	if taken, _ := b.Take(10*time.Second, 10, 0); taken != 10 {
		t.Errorf("took %v of the first 10 units, want all", taken)
	}
	if taken, wait := b.Take(10*time.Second, 1, 0); taken > 0 || wait != 100*time.Millisecond {
		t.Errorf("one more: took %v, wait %v, want a wait of 100 ms", taken, wait)
	}
}

// A request is larger than the burst. It must be served from a full bucket and delay the next one, or it would be refused
// for ever.
func TestRequestOverTheBurstIsServed(t *testing.T) {
	b := bucket.NewBucket(100, 100, 0)
	if taken, wait := b.Take(0, 100, 250); taken > 0 || wait != time.Second {
		t.Fatalf("from an empty bucket: took %v, wait %v, want 1 s", taken, wait)
	}
	if taken, _ := b.Take(time.Second, 100, 250); taken != 350 {
		t.Fatalf("from a full bucket: took %v, want 350", taken)
	}
	if taken, wait := b.Take(time.Second, 1, 0); taken > 0 || wait != 2510*time.Millisecond {
		t.Errorf("the next one: took %v, wait %v, want 2.51 s", taken, wait)
	}
}

// A limit with a rate of zero never refills once its burst is used up.
func TestZeroRateNeverRefills(t *testing.T) {
	b := bucket.NewBucket(0, 5, 0)
	if taken, wait := b.Take(time.Minute, 1, 0); taken > 0 || wait < time.Minute {
		t.Errorf("took %v, wait %v, want a long one", taken, wait)
	}
}
