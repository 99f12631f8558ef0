package pace_test

import (
	"testing"
	"time"

	"damaskreach/internal/pace"
)

const (
	promptCost    = 25 * time.Millisecond // reading time of a prompt of the users' sheets
	maxBurst      = 190 * time.Millisecond
	burstEventGap = 33 * time.Millisecond
)

// sendPrompts sends each prompt as soon as it may go, for a while, and returns their total reading time.
func sendPrompts(p *pace.Pace, now *time.Time, span time.Duration) (read time.Duration) {
	for end := now.Add(span); ; {
		*now = now.Add(p.Wait(*now, promptCost, maxBurst, burstEventGap))
		if !now.Before(end) {
			return read
		}
		p.Send(*now, promptCost, burstEventGap)
		read += promptCost
	}
}

// Forty prompts arrive at once, a second of reading. Streams get an event between bursts; any further idle time would make
// requests late that the engine could read in time.
func TestShortBurstIsNotThrottled(t *testing.T) {
	var p pace.Pace
	begin := time.Unix(100, 0)
	now := begin
	const prompts = 40
	for range prompts {
		now = now.Add(p.Wait(now, promptCost, maxBurst, burstEventGap))
		p.Send(now, promptCost, burstEventGap)
	}
	ahead := (prompts - 1) * promptCost
	readings := ahead/maxBurst + 1
	if got, limit := now.Sub(begin), ahead+readings*burstEventGap; got > limit {
		t.Errorf("last of %d prompts sent after %v, want at most %v: the reading times and one gap per burst", prompts, got, limit)
	}
}

// An engine is asked for twice what it can read, for long. Without idle time its streams get one event per burst and do not
// end before their callers leave.
func TestSaturatedEngineRests(t *testing.T) {
	var p pace.Pace
	now := time.Unix(100, 0)
	sendPrompts(&p, &now, 5*time.Second)
	span, rest := 10*time.Second, 0.35
	got := sendPrompts(&p, &now, span)
	if limit := time.Duration(float64(span)/(1+rest)) + maxBurst; got > limit {
		t.Errorf("read in %v = %v, want at most %v: idle for a third of the reading time, one more burst may begin", span, got, limit)
	}
}

// An engine that was saturated a while ago must not be throttled any more.
func TestRestEndsAfterTheBurst(t *testing.T) {
	var p pace.Pace
	now := time.Unix(100, 0)
	sendPrompts(&p, &now, 10*time.Second)
	now = now.Add(5 * time.Second)
	if got, want := sendPrompts(&p, &now, time.Second), time.Second*8/10; got < want {
		t.Errorf("read in a second after five of rest = %v, want at least %v", got, want)
	}
}
