package chance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"damaskreach/internal/chance"
)

const (
	group = "g"
	// live is how many samples of live upstreams are taken before the ends, as by one host with three upstreams in 20 s.
	live = 300
)

// fleet is what one host sees of ends, with time of its own.
type fleet struct {
	*chance.Chance
	now  time.Time
	ends int
}

// newFleet returns a fleet whose host has seen a key at a part of the live upstreams.
func newFleet(share map[string]float64) *fleet {
	f := &fleet{Chance: chance.NewChance(), now: time.Unix(1e9, 0)}
	for n := range live {
		var keys []string
		for key, part := range share {
			if float64(n) < part*live {
				keys = append(keys, key)
			}
		}
		f.Sample(chance.WentOn, group, [2][]string{keys, keys}, f.now)
	}
	return f
}

// end ends an upstream where requests with some fingerprints run, under keys.
func (f *fleet) end(keys map[string]string) {
	f.now = f.now.Add(time.Second)
	f.ends++
	upstream := fmt.Sprint("u", f.ends)
	f.AddEnd(group, upstream, f.now)
	for key, fingerprint := range keys {
		f.AddHit(key, fingerprint, group, upstream, chance.Running, f.now)
	}
}

// A key is judged by how much more often it is present where upstreams end than elsewhere.
func TestPresenceAtEndsIsWeighedAgainstPresenceElsewhere(t *testing.T) {
	for _, c := range []struct {
		name        string
		share       float64
		with, other int // ends with the key, and without
		want        bool
	}{
		{"seldom there, at all ends", 0.01, 3, 0, true},
		{"seldom there, at two ends", 0.01, 2, 0, false},
		{"seldom there, at few of many ends", 0.01, 3, 97, false},
		{"now and then there, at three ends", 0.1, 3, 0, false},
		{"now and then there, at all of six ends", 0.1, 6, 0, true},
		{"now and then there, at six of thirty ends", 0.1, 6, 24, false},
		{"popular, at all ends", 0.9, 20, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(map[string]float64{"k": c.share})
			for range c.with {
				f.end(map[string]string{"k": "k"})
			}
			for range c.other {
				f.end(nil)
			}
			if got := f.Unlikely("k", f.now); got != c.want {
				_, _, odds := f.Weigh("k", f.now)
				t.Errorf("unlikely = %v at a chance of %v, want %v", got, odds, c.want)
			}
			if f.Unlikely("k", f.now.Add(3*time.Minute)) {
				t.Error("unlikely three minutes later, want the ends forgotten")
			}
		})
	}
}

// Other hosts send requests with a key too. Weighed by its own samples alone, a host would take a popular key for one that is seldom there.
func TestSharesOfOtherHostsCount(t *testing.T) {
	f := newFleet(map[string]float64{"k": 0.02})
	f.Expect("k", group, f.now)
	f.SetShare("k", "other", [2][2]float64{{0.5, 0.5}, {0.5, 0.5}})
	for range 4 {
		f.end(map[string]string{"k": "k"})
	}
	if f.Unlikely("k", f.now) {
		t.Error("unlikely at four ends, want it weighed by the share of both hosts")
	}
}

// One request crashes upstreams, and another one that differs from it in its address is at hand at one end. What they have in common must not be held against the other.
func TestEndsOfOneFingerprintDoNotSpeakAgainstOthersLikeIt(t *testing.T) {
	f := newFleet(map[string]float64{"wide": 0.02, "one": 0.01, "two": 0.01})
	for n := range 6 {
		f.end(map[string]string{"wide": "one", "one": "one"})
		if n == 0 {
			f.AddHit("wide", "two", group, "u1", chance.Running, f.now)
		}
	}
	if !f.Unlikely("one", f.now) || f.Unlikely("wide", f.now) {
		t.Errorf("unlikely = %v, what it has in common with others %v, want true and false", f.Unlikely("one", f.now), f.Unlikely("wide", f.now))
	}
	for n := range 6 {
		f.end(map[string]string{"wide": fmt.Sprint("address", n)})
	}
	if !f.Unlikely("wide", f.now) {
		t.Error("not unlikely where each end has another fingerprint, want what they have in common found")
	}
}

// Upstreams crash all day without a request's doing, and requests of any popularity are at hand by chance. Hardly one of them may be taken for the cause.
func TestSoundKeysAreHardlyEverTakenForTheCause(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	wrong, keys := 0, 0
	for _, share := range []float64{0.003, 0.01, 0.03, 0.1, 0.3} {
		for range 400 {
			f := newFleet(map[string]float64{"k": share})
			keys++
			for range 120 {
				at, there := map[string]string{}, random.Float64() < share
				if there {
					at["k"] = "k"
				}
				if f.end(at); there && f.Unlikely("k", f.now) {
					wrong++
					break
				}
			}
		}
	}
	if wrong > 1 {
		t.Errorf("%d of %d sound keys are taken for the cause in two minutes with a crash each second, want one at most", wrong, keys)
	}
}

// Requests pile up at an upstream that stands still before it ends. Its end must speak against none of them.
func TestPiledUpRequestsAreNoSuspects(t *testing.T) {
	if got := chance.Suspects([]string{"a", "b", "c"}, nil); len(got[chance.Running]) > 0 {
		t.Errorf("suspects = %v, want none of three that run", got)
	}
	got := chance.Suspects([]string{"a", "a"}, []string{"b"})
	if len(got[chance.Running]) != 1 || len(got[chance.Behind]) != 1 || got[chance.Running][0] != "a" || got[chance.Behind][0] != "b" {
		t.Errorf("suspects = %v, want the one that runs and the one that was answered", got)
	}
}
