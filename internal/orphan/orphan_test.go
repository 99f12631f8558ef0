package orphan_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"damaskreach/internal/ident"
	"damaskreach/internal/orphan"
	"damaskreach/internal/target"
)

var start = time.Unix(1000, 0)

func upstream(id, addr string, incarnation int64) target.Target {
	return target.Target{ID: id, Addr: addr, Incarnation: incarnation}
}

func registered(list ...target.Target) map[string]target.Target {
	all := map[string]target.Target{}
	for _, t := range list {
		all[t.ID] = t
	}
	return all
}

// Many requests were given up at one upstream whose registration has lapsed while it goes on. It must be dialled once, not once for each of them and every second.
func TestUpstreamWithoutRegistrationIsDialledOnce(t *testing.T) {
	var o orphan.Orphan
	for n := range 50 {
		o.Add(ident.Ident{Fingerprint: fmt.Sprint(n)}, upstream("u", "a:1", 5), start.Add(time.Minute), start)
	}
	dials := 0
	for second := range 10 {
		now := start.Add(time.Duration(second) * time.Second)
		o.Check(registered(), func(target.Target) bool { return false }, func(string) bool { dials++; return false }, now,
			func(i ident.Ident, _ target.Target, _ time.Time) {
				t.Errorf("request %s counts, want none", i.Fingerprint)
			})
	}
	if dials != 1 {
		t.Errorf("%d dials, want 1", dials)
	}
}

// An upstream ends after its host has given a request up. Each sign of that must count once, and what has another reason must not: an upstream that is
// shut down, one that merely cannot be read of in the store, a registration of its predecessor that has not lapsed yet.
func TestEndOfAnUpstreamIsSeenInRegistrations(t *testing.T) {
	ran := upstream("u", "a:1", 5)
	draining := ran
	draining.Draining = true
	for _, c := range []struct {
		name    string
		later   map[string]target.Target
		after   time.Duration
		leaves  bool
		refuses bool
		want    int
	}{
		{"still there", registered(ran), time.Second, false, false, 0},
		{"successor beside its registration", registered(ran, upstream("w", "a:1", 9)), 3 * time.Second, false, false, 1},
		{"successor alone", registered(upstream("w", "a:1", 9)), 5 * time.Second, false, false, 1},
		{"restarted under its id", registered(upstream("u", "a:1", 9)), 3 * time.Second, false, false, 1},
		{"restarted under its id at another address", registered(upstream("u", "b:1", 9)), 3 * time.Second, false, true, 1},
		{"moved to another address", registered(upstream("u", "b:1", 5)), 3 * time.Second, false, true, 0},
		{"gone, nothing listens", registered(), 5 * time.Second, false, true, 1},
		{"gone, something listens", registered(), 5 * time.Second, false, false, 0},
		{"predecessor's registration", registered(ran, upstream("t", "a:1", 1)), time.Second, false, false, 0},
		{"shut down", registered(draining), time.Second, false, true, 0},
		{"announced in an answer", registered(), time.Second, true, true, 0},
		{"ended long after", registered(), 30 * time.Second, false, true, 0},
	} {
		var o orphan.Orphan
		o.Add(ident.Ident{Fingerprint: "f"}, ran, start.Add(time.Second), start)
		var got []string
		check := func(all map[string]target.Target, leaves, refuses bool, now time.Time) {
			o.Check(all, func(target.Target) bool { return leaves }, func(string) bool { return refuses }, now,
				func(i ident.Ident, t target.Target, _ time.Time) { got = append(got, i.Fingerprint+" "+t.ID) })
		}
		check(registered(ran, upstream("t", "a:1", 1)), false, false, start)
		check(c.later, c.leaves, c.refuses, start.Add(c.after))
		check(c.later, c.leaves, c.refuses, start.Add(c.after+time.Second))
		if len(got) != c.want || slices.ContainsFunc(got, func(s string) bool { return s != "f u" }) {
			t.Errorf("%s: ended = %v, want %d times the request at u", c.name, got, c.want)
		}
	}
}

// An upstream is silent when its registration has lapsed, so that no dial tells whether it has ended; its successor registers some seconds later. That tells it.
func TestSuccessorTellsTheEndOfASilentUpstream(t *testing.T) {
	var o orphan.Orphan
	o.Add(ident.Ident{Fingerprint: "f"}, upstream("u", "a:1", 5), start.Add(time.Second), start)
	ended, dials := 0, 0
	for second, all := range []map[string]target.Target{
		registered(upstream("u", "a:1", 5)), registered(), registered(), registered(), registered(upstream("w", "a:1", 9)), registered(upstream("w", "a:1", 9)),
	} {
		o.Check(all, func(target.Target) bool { return false }, func(string) bool { dials++; return false }, start.Add(time.Duration(second)*time.Second),
			func(ident.Ident, target.Target, time.Time) { ended++ })
	}
	if ended != 1 || dials != 1 {
		t.Errorf("ended %d times with %d dials, want once each", ended, dials)
	}
}

// A request that was given up ends its upstream, which comes back under its id and is given the request again before anybody has looked. Both ends must count, each once.
func TestEndsOfAnUpstreamAndItsSuccessorBothCount(t *testing.T) {
	var o orphan.Orphan
	var got []int64
	i := ident.Ident{Fingerprint: "f"}
	for n := range int64(3) {
		now := start.Add(time.Duration(n) * 3 * time.Second)
		if n > 0 {
			o.Add(i, upstream("u", "a:1", n), now.Add(time.Second), now)
		}
		o.Add(i, upstream("u", "a:1", n+1), now.Add(time.Second), now)
		for range 2 {
			o.Check(registered(upstream("u", "a:1", n+1)), func(target.Target) bool { return false }, func(string) bool { return false }, now,
				func(_ ident.Ident, ended target.Target, _ time.Time) { got = append(got, ended.Incarnation) })
		}
	}
	if want := []int64{1, 2}; !slices.Equal(got, want) {
		t.Errorf("incarnations whose end counts = %v, want %v", got, want)
	}
}
