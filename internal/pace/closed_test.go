package pace_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"damaskreach/internal/pace"
)

// stalls plays prompts at an engine that is two and a half times slower in some seconds, and returns how many readings of several prompts hold
// streams up for longer than they allow, of how many. Where told, each prompt is said to have been read when it was.
func stalls(seed uint64, told bool) (long, all int) {
	const allowed, slow = 300 * time.Millisecond, 2.5
	r := rand.New(rand.NewPCG(seed, 1))
	var p pace.Pace
	start := time.Unix(100, 0)
	type reading struct {
		turn uint64
		end  time.Time
	}
	var open []reading
	now, begun, end, prompts := start, start, start, 0
	for turn := uint64(1); turn < 4000; turn++ {
		now = now.Add(time.Duration(r.ExpFloat64() * float64(110*time.Millisecond)))
		cost := min(200*time.Millisecond, time.Duration((0.3+r.ExpFloat64())*float64(30*time.Millisecond)))
		for {
			for len(open) > 0 && !open[0].end.After(now) {
				p.Read(open[0].turn, open[0].end)
				open = open[1:]
			}
			wait := p.Wait(now, cost, 100*time.Millisecond, tail)
			if wait == 0 {
				break
			}
			now = now.Add(min(wait, 5*time.Millisecond))
		}
		p.Send(now, cost, tail)
		if now.After(end.Add(tail / 2)) {
			if prompts > 1 && end.Sub(begun) > allowed {
				long++
			}
			all++
			begun, end, prompts = now, now, 0
		}
		prompts++
		took := cost
		if now.Unix()%4 == 0 {
			took = time.Duration(slow * float64(cost))
		}
		end = end.Add(took)
		if told {
			p.Expect(turn, now, cost, tail)
			open = append(open, reading{turn, end})
		}
	}
	return long, all
}

// An engine reads two and a half times slower for a second, as engines do now and then. By the estimate alone it gets the next prompts while it
// reads the last ones, and its streams pause for the sum; one that waits until they were read does not add up.
func TestEngineThatTurnsSlowGetsNoMoreUntilItHasRead(t *testing.T) {
	for seed := range uint64(3) {
		blind, _ := stalls(seed, false)
		long, all := stalls(seed, true)
		t.Logf("seed %d: %d long readings by the estimate alone, %d of %d where told", seed, blind, long, all)
		if blind < 20 {
			t.Errorf("seed %d: %d long readings by the estimate alone, want a load that shows them", seed, blind)
		}
		if long > 0 {
			t.Errorf("seed %d: %d long readings where told, want none", seed, long)
		}
	}
}

// The host that should say that a prompt was read has died. The engine must not stand idle for it.
func TestPromptThatNobodyTellsOfIsGivenUp(t *testing.T) {
	var p pace.Pace
	now := time.Unix(100, 0)
	p.Send(now, 50*time.Millisecond, tail)
	p.Expect(1, now, 50*time.Millisecond, tail)
	if wait := p.Wait(now.Add(time.Second), 2*room, room, tail); wait == 0 {
		t.Error("the next prompt may go while one is being read, want it to wait")
	}
	if wait := p.Wait(now.Add(2*time.Second), 2*room, room, tail); wait != 0 {
		t.Errorf("wait after 2 s = %v, want none", wait)
	}
}
