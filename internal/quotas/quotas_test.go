package quotas_test

import (
	"testing"
	"time"

	"damaskreach/internal/charge"
	"damaskreach/internal/quotas"
)

// host holds a shard while fence is not 0.
type host struct {
	*quotas.Quotas
	now   time.Duration
	fence int64
	since time.Duration
}

func newHost(life string) *host {
	h := &host{}
	h.Quotas = &quotas.Quotas{
		Shards: func() []string { return []string{"p"} },
		Held:   func(string) (int64, time.Duration, bool) { return h.fence, h.since, h.fence != 0 },
		Clock:  func() time.Duration { return h.now },
		Life:   life,
	}
	return h
}

func newCharge(units float64) charge.Charge {
	return charge.Charge{Shard: "p", Team: "red", Version: 1, Rate: 10, Burst: 20, Units: units}
}

// drain charges single units until one is refused and returns the number granted.
func (h *host) drain() int {
	n := 0
	for h.Charge(newCharge(1)).Units > 0 {
		n++
	}
	return n
}

// A shard moves to another host, or its host restarts, and the new process doesn't know what was given out. With a full bucket a
// team would get its burst with every restart.
func TestNewHolderStartsWithEmptyBucket(t *testing.T) {
	for name, next := range map[string]int64{"another host": 2, "the same host again": 1} {
		first := newHost("first")
		first.fence, first.now, first.since = 1, time.Hour, time.Hour
		first.Charge(newCharge(1))
		first.now += time.Minute
		if got, want := first.drain(), 20; got != want {
			t.Errorf("%s: the first holder gave out %d, want %d", name, got, want)
		}
		second := newHost("second")
		second.fence, second.now, second.since = next, first.now, first.now
		if got := second.drain(); got != 0 {
			t.Errorf("%s: gave out %d at once, want none", name, got)
		}
		second.now += 500 * time.Millisecond
		if got, want := second.drain(), 5; got != want {
			t.Errorf("%s: gave out %d after half a second, want %d", name, got, want)
		}
	}
}

// A host loses a shard and regains it after another one held it. Its old counts must not be used.
func TestRegainedShardStartsWithEmptyBucket(t *testing.T) {
	h := newHost("life")
	h.fence, h.now, h.since = 1, time.Hour, time.Hour
	h.Charge(newCharge(1))
	h.now += time.Minute
	h.fence = 0
	if r := h.Charge(newCharge(1)); r.Counted || r.Units > 0 {
		t.Errorf("without the shard: %+v, want that it does not count", r)
	}
	h.fence, h.since = 3, h.now
	if got := h.drain(); got != 0 {
		t.Errorf("gave out %d at once, want none", got)
	}
}

// Units are returned to a process that did not give them out, since the host restarted. They must not be added there.
func TestReturnsFromFormerProcessAreIgnored(t *testing.T) {
	h := newHost("new")
	h.fence, h.now, h.since = 1, time.Hour, time.Hour
	h.Charge(newCharge(1))
	h.now += time.Second
	h.Charge(newCharge(0).WithReturn(10, "old", h.now-time.Millisecond))
	if got, want := h.drain(), 10; got != want {
		t.Errorf("gave out %d, want %d", got, want)
	}
	r := h.Charge(newCharge(1))
	h.now += time.Second
	taken := h.Charge(newCharge(10))
	h.Charge(newCharge(0).WithReturn(10, taken.Life, taken.Taken))
	if got, want := h.drain(), 10; got != want || r.Units > 0 {
		t.Errorf("gave out %d after units came back, want %d", got, want)
	}
}

// Hosts learn of a lowered limit at different times. Charges under the old version must not restore the old limit.
func TestOlderLimitVersionIsIgnored(t *testing.T) {
	h := newHost("life")
	h.fence, h.now, h.since = 1, time.Hour, time.Hour
	h.Charge(newCharge(1))
	h.now += time.Minute
	lowered := charge.Charge{Shard: "p", Team: "red", Version: 2, Rate: 1, Burst: 2, Units: 2}
	if h.Charge(lowered).Units == 0 {
		t.Error("refused within the lowered limit, want it granted")
	}
	h.Charge(newCharge(1))
	h.now += time.Second
	if h.Charge(newCharge(5)).Units > 0 {
		t.Error("five units granted a second later by the limit of an older version, want one to be there")
	}
}
