package pace_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"damaskreach/internal/pace"
)

// countLongReads simulates prompts at an engine that is 2.5 times slower in some seconds and returns how many bursts of
// several prompts stall streams for too long, of how many. If confirmed, MarkRead is called for each prompt when it was read.
func countLongReads(seed uint64, confirmed bool) (long, all int) {
	const allowed, slow = 300 * time.Millisecond, 2.5
	r := rand.New(rand.NewPCG(seed, 1))
	var p pace.Pace
	start := time.Unix(100, 0)
	type reading struct {
		turn uint64
		end  time.Time
	}
	var unread []reading
	now, burstStart, burstEnd, prompts := start, start, start, 0
	for turn := uint64(1); turn < 4000; turn++ {
		now = now.Add(time.Duration(r.ExpFloat64() * float64(110*time.Millisecond)))
		cost := min(200*time.Millisecond, time.Duration((0.3+r.ExpFloat64())*float64(30*time.Millisecond)))
		for {
			for len(unread) > 0 && !unread[0].end.After(now) {
				p.MarkRead(unread[0].turn, unread[0].end)
				unread = unread[1:]
			}
			wait := p.Wait(now, cost, 100*time.Millisecond, tail)
			if wait == 0 {
				break
			}
			now = now.Add(min(wait, 5*time.Millisecond))
		}
		p.Send(now, cost, tail)
		if now.After(burstEnd.Add(tail / 2)) {
			if prompts > 1 && burstEnd.Sub(burstStart) > allowed {
				long++
			}
			all++
			burstStart, burstEnd, prompts = now, now, 0
		}
		prompts++
		took := cost
		if now.Unix()%4 == 0 {
			took = time.Duration(slow * float64(cost))
		}
		burstEnd = burstEnd.Add(took)
		if confirmed {
			p.Expect(turn, now, cost, tail)
			unread = append(unread, reading{turn, burstEnd})
		}
	}
	return long, all
}

// An engine reads 2.5 times slower for a second. By the estimate alone it gets more prompts while it reads the last ones, and
// its streams stall for the sum; with confirmations the next prompts wait.
func TestSlowEngineGetsNoPromptUntilReadsAreConfirmed(t *testing.T) {
	for seed := range uint64(3) {
		blind, _ := countLongReads(seed, false)
		long, all := countLongReads(seed, true)
		t.Logf("seed %d: %d long bursts by the estimate alone, %d of %d with confirmations", seed, blind, long, all)
		if blind < 20 {
			t.Errorf("seed %d: %d long bursts by the estimate alone, want a load that shows them", seed, blind)
		}
		if long > 0 {
			t.Errorf("seed %d: %d long bursts with confirmations, want none", seed, long)
		}
	}
}

// The host that should confirm a prompt has died. The engine must not stay idle for it.
func TestUnconfirmedPromptTimesOut(t *testing.T) {
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
