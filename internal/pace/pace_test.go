package pace_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"damaskreach/internal/pace"
)

const (
	room = 230 * time.Millisecond
	tail = 25 * time.Millisecond
)

// Prompts arrive together, and an engine would read them in one long step that stalls all its streams. Only as many may be
// sent together as fit into the longest allowed stall.
func TestPromptsBeyondMaxStallWait(t *testing.T) {
	var p pace.Pace
	now := time.Unix(0, 0)
	var waits []bool
	for range 4 {
		wait := p.Wait(now, 80*time.Millisecond, room, tail)
		waits = append(waits, wait > 0)
		if wait == 0 {
			p.Send(now, 80*time.Millisecond, tail)
		}
	}
	for i, want := range []bool{false, false, true, true} {
		if waits[i] != want {
			t.Errorf("prompt %d waits = %v, want %v", i, waits[i], want)
		}
	}
}

// A prompt that takes longer to read than the allowed stall never fits. It must be sent once nothing else is being read.
func TestOversizedPromptIsSentAlone(t *testing.T) {
	var p pace.Pace
	now := time.Unix(0, 0)
	p.Send(now, 50*time.Millisecond, tail)
	wait := p.Wait(now, 2*room, room, tail)
	if wait <= 0 {
		t.Fatalf("wait beside another prompt = %v, want more than 0", wait)
	}
	if got, want := p.Wait(now.Add(wait), 2*room, room, tail), time.Duration(0); got != want {
		t.Errorf("wait afterwards = %v, want %v", got, want)
	}
}

// Prompts arrive one after the other, each shortly before the last one was read. Streams get no event between them, so the sum
// of all counts, not only what is left to read.
func TestConsecutivePromptsAddUp(t *testing.T) {
	var p pace.Pace
	now := time.Unix(0, 0)
	p.Send(now, 150*time.Millisecond, tail)
	later := now.Add(140 * time.Millisecond)
	if got := p.Wait(later, 100*time.Millisecond, room, tail); got <= 0 {
		t.Errorf("wait = %v, want more than 0: 250 ms are read without an event between", got)
	}
}

// simulate runs prompts at an engine and returns the share of stalls over the room, and the mean wait. The pattern is that of
// assistants' requests at busy hours: Poisson arrivals, log-normal prompts with a mean of 60 ms to read, half of the engine's
// reading capacity. An event takes three steps, so reading without a plain step between adds up.
func simulate(seed uint64, paced bool) (over float64, wait time.Duration) {
	r := rand.New(rand.NewPCG(seed, 1))
	var p pace.Pace
	now, end := time.Unix(0, 0), time.Unix(0, 0)
	chain, chains, longChains := time.Duration(0), 0, 0
	const n = 20000
	for range n {
		now = now.Add(time.Duration(r.ExpFloat64() * float64(120*time.Millisecond)))
		cost := min(200*time.Millisecond, time.Duration((0.3+r.ExpFloat64())*float64(46*time.Millisecond)))
		if paced {
			for w := p.Wait(now, cost, room, tail); w > 0; w = p.Wait(now, cost, room, tail) {
				wait += w
				now = now.Add(w)
			}
			p.Send(now, cost, tail)
		}
		if !now.Before(end.Add(tail)) {
			chains++
			if chain > room {
				longChains++
			}
			chain = 0
		}
		chain += cost
		if end.Before(now) {
			end = now
		}
		end = end.Add(cost)
	}
	return float64(longChains) / float64(chains), wait / n
}

// At half load, prompts sent on arrival stall streams too long in one of six bursts; paced ones never do, and wait some
// 11 ms, a hundredth of the second in which the first event is in time.
func TestPacedPromptsDoNotStallStreamsAtHalfLoad(t *testing.T) {
	for seed := range uint64(5) {
		plain, _ := simulate(seed, false)
		paced, wait := simulate(seed, true)
		if plain < 0.1 {
			t.Errorf("seed %d: share of long stalls unpaced = %.2f, want a load that shows them", seed, plain)
		}
		if paced > 0 {
			t.Errorf("seed %d: share of long stalls when paced = %.3f, want 0", seed, paced)
		}
		if wait > 100*time.Millisecond {
			t.Errorf("seed %d: mean wait = %v, want at most 100ms", seed, wait)
		}
		t.Logf("seed %d: share of long stalls %.2f unpaced, %.2f paced; mean wait %v", seed, plain, paced, wait)
	}
}

// An engine is asked for much more than it can read, as after the loss of most of its neighbours. A third of the time must go
// to plain steps, so that long streams end before their callers leave.
func TestSaturatedEngineLeavesTimeForStreams(t *testing.T) {
	var p pace.Pace
	now, begin, read := time.Unix(0, 0), time.Unix(0, 0), time.Duration(0)
	for now.Sub(begin) < time.Minute {
		cost := 70 * time.Millisecond
		if wait := p.Wait(now, cost, room, tail); wait > 0 {
			now = now.Add(wait)
			continue
		}
		p.Send(now, cost, tail)
		read += cost
	}
	if got, limit := float64(read)/float64(time.Minute), 0.76; got > limit {
		t.Errorf("share of the time in which prompts are read = %.2f, want at most %.2f", got, limit)
	}
}
