package quotas_test

import (
	"testing"
	"time"

	"damaskreach/internal/charge"
	"damaskreach/internal/quotas"
)

// host is a host that holds a part while fence is not 0.
type host struct {
	*quotas.Quotas
	now   time.Duration
	fence int64
	since time.Duration
}

func newHost(life string) *host {
	h := &host{}
	h.Quotas = &quotas.Quotas{
		Parts: func() []string { return []string{"p"} },
		Held:  func(string) (int64, time.Duration, bool) { return h.fence, h.since, h.fence != 0 },
		Clock: func() time.Duration { return h.now },
		Life:  life,
	}
	return h
}

func ask(units float64) charge.Charge {
	return charge.Charge{Part: "p", Team: "red", Version: 1, Rate: 10, Burst: 20, Units: units}
}

// take asks for single units until one is refused and returns how many there were.
func (h *host) take() int {
	n := 0
	for h.Charge(ask(1)).Units > 0 {
		n++
	}
	return n
}

// A host that holds a part of the limits dies, and another one gets it, or the same one starts again. It does not know what was given out:
// were it to begin with a full bucket, a team would get its burst with every restart.
func TestNewHolderBeginsWithNothing(t *testing.T) {
	for name, next := range map[string]int64{"another host": 2, "the same host again": 1} {
		first := newHost("first")
		first.fence, first.now, first.since = 1, time.Hour, time.Hour
		first.Charge(ask(1))
		first.now += time.Minute
		if got, want := first.take(), 20; got != want {
			t.Errorf("%s: the first holder gave out %d, want %d", name, got, want)
		}
		second := newHost("second")
		second.fence, second.now, second.since = next, first.now, first.now
		if got := second.take(); got != 0 {
			t.Errorf("%s: gave out %d at once, want none", name, got)
		}
		second.now += 500 * time.Millisecond
		if got, want := second.take(), 5; got != want {
			t.Errorf("%s: gave out %d after half a second, want %d", name, got, want)
		}
	}
}

// A host loses a part and gets it back after another one had it. What it counted before says nothing any more.
func TestPartThatComesBackBeginsWithNothing(t *testing.T) {
	h := newHost("life")
	h.fence, h.now, h.since = 1, time.Hour, time.Hour
	h.Charge(ask(1))
	h.now += time.Minute
	h.fence = 0
	if r := h.Charge(ask(1)); r.Counts || r.Units > 0 {
		t.Errorf("without the part: %+v, want that it does not count", r)
	}
	h.fence, h.since = 3, h.now
	if got := h.take(); got != 0 {
		t.Errorf("gave out %d at once, want none", got)
	}
}

// Units come back to a process that did not take them: the host has started again since. They were never missing there.
func TestUnitsComeBackToWhoTookThem(t *testing.T) {
	h := newHost("new")
	h.fence, h.now, h.since = 1, time.Hour, time.Hour
	h.Charge(ask(1))
	h.now += time.Second
	h.Charge(ask(0).WithReturn(10, "old", h.now-time.Millisecond))
	if got, want := h.take(), 10; got != want {
		t.Errorf("gave out %d, want %d", got, want)
	}
	r := h.Charge(ask(1))
	h.now += time.Second
	taken := h.Charge(ask(10))
	h.Charge(ask(0).WithReturn(10, taken.Life, taken.Taken))
	if got, want := h.take(), 10; got != want || r.Units > 0 {
		t.Errorf("gave out %d after units came back, want %d", got, want)
	}
}

// Hosts learn of a lowered limit one after the other. One that is behind asks by the old limit, which must not come back.
func TestOlderLimitDoesNotComeBack(t *testing.T) {
	h := newHost("life")
	h.fence, h.now, h.since = 1, time.Hour, time.Hour
	h.Charge(ask(1))
	h.now += time.Minute
	lowered := charge.Charge{Part: "p", Team: "red", Version: 2, Rate: 1, Burst: 2, Units: 2}
	if h.Charge(lowered).Units == 0 {
		t.Error("refused within the lowered limit, want it granted")
	}
	h.Charge(ask(1))
	h.now += time.Second
	if h.Charge(ask(5)).Units > 0 {
		t.Error("five units granted a second later by the limit of an older version, want one to be there")
	}
}
