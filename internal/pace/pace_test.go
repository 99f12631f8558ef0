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

// Prompts arrive together at an engine that reads them in one long step. Its streams would all pause for the sum of them,
// and their callers would see an answer that stalls; so only as many go together as fit into the pause that streams allow.
func TestPromptsThatTogetherStallStreamsGoInTurn(t *testing.T) {
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

// A prompt that takes longer to read than streams may pause can never fit. Held back for ever it would never be answered,
// so it goes once nothing else is being read.
func TestPromptLargerThanThePauseGoesAlone(t *testing.T) {
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

// Prompts join those being read one after the other, each a little before the last was read. Streams get no event between
// them, so the sum of all counts and not only what is left to read.
func TestPromptsThatFollowEachOtherCountTogether(t *testing.T) {
	var p pace.Pace
	now := time.Unix(0, 0)
	p.Send(now, 150*time.Millisecond, tail)
	later := now.Add(140 * time.Millisecond)
	if got := p.Wait(later, 100*time.Millisecond, room, tail); got <= 0 {
		t.Errorf("wait = %v, want more than 0: 250 ms are read without an event between", got)
	}
}

// load plays prompts at an engine and returns the share of pauses over the room, and the mean wait. The pattern is that of
// assistants' requests at busy hours: Poisson arrivals, log-normal prompts with a mean of 60 ms to read, and half of the
// engine's reading taken. A stream's event needs three steps, so reading without a plain step between adds up.
func load(seed uint64, paced bool) (over float64, wait time.Duration) {
	r := rand.New(rand.NewPCG(seed, 1))
	var p pace.Pace
	now, end := time.Unix(0, 0), time.Unix(0, 0)
	chain, chains, long := time.Duration(0), 0, 0
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
				long++
			}
			chain = 0
		}
		chain += cost
		if end.Before(now) {
			end = now
		}
		end = end.Add(cost)
	}
	return float64(long) / float64(chains), wait / n
}

// At half load, prompts sent as they come make streams pause too long one in six times that an engine reads; paced ones
// never do, and wait some 11 ms, a hundredth of the second in which the first event is on time.
func TestPacedPromptsStallNoStreamsAtHalfLoad(t *testing.T) {
	for seed := range uint64(5) {
		plain, _ := load(seed, false)
		paced, wait := load(seed, true)
		if plain < 0.1 {
			t.Errorf("seed %d: share of long pauses as they come = %.2f, want a load that shows the stall", seed, plain)
		}
		if paced > 0 {
			t.Errorf("seed %d: share of long pauses when paced = %.3f, want 0", seed, paced)
		}
		if wait > 100*time.Millisecond {
			t.Errorf("seed %d: mean wait = %v, want at most 100ms", seed, wait)
		}
		t.Logf("seed %d: long pauses %.2f as they come, %.2f paced; mean wait %v", seed, plain, paced, wait)
	}
}

// An engine is asked for much more than it can read, as after the loss of most of its neighbours. Streams must go on at a
// pace at which the long ones end before their callers leave: a third of the time goes to plain steps, in which they get
// their events.
func TestFullEngineLeavesTimeForItsStreams(t *testing.T) {
	var p pace.Pace
	now, begun, read := time.Unix(0, 0), time.Unix(0, 0), time.Duration(0)
	for now.Sub(begun) < time.Minute {
		cost := 70 * time.Millisecond
		if wait := p.Wait(now, cost, room, tail); wait > 0 {
			now = now.Add(wait)
			continue
		}
		p.Send(now, cost, tail)
		read += cost
	}
	if got, most := float64(read)/float64(time.Minute), 0.76; got > most {
		t.Errorf("share of the time in which prompts are read = %.2f, want at most %.2f", got, most)
	}
}
