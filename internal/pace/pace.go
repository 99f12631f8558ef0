// Package pace spaces the prompts sent to one engine, so that the streams it runs do not stall.
//
// An engine reads prompts in the steps that generate the next token of every stream, so all its streams wait for the prompts
// that arrive together. A prompt waits here until those being read leave room for it within the longest stall that streams
// allow, and, if the engine is saturated, for an idle time after them.
//
// The reading time is an estimate, and engines slow down at times. So hosts confirm when a prompt has been read, and until
// then it counts as being read. By the estimate alone, a slow engine would get the next prompts while it reads the last ones.
package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// restRatio is the idle time after a burst at a saturated engine, as a share of the burst's reading time. If the engine
	// read nearly all the time, each stream would get one event per burst: none would stall too long, but long streams would
	// not end before their callers leave.
	restRatio = 0.35
	// sustainedShare is the share of the last loadDecay that an engine must have spent reading to count as saturated. Short
	// bursts end before streams fall behind; idle time in them would delay requests that the engine could read in time.
	sustainedShare = 0.5
	loadDecay      = 2 * time.Second
	// recheckInterval is the delay until a check for room is repeated while a prompt that should have been read is unconfirmed.
	// readTimeout is how long after its due time a prompt's confirmation is no longer expected.
	recheckInterval = 20 * time.Millisecond
	readTimeout     = 1500 * time.Millisecond
)

// Pace is the state of one engine. It is not safe for concurrent use.
type Pace struct {
	busyUntil  time.Time     // expected end of reading the prompts sent
	unread     []prompt      // prompts sent that await confirmation
	lastRead   time.Time     // time of the last confirmation
	burstCost  time.Duration // reading time of the current burst: prompts without a gap for an event between them
	recentCost time.Duration // decayed reading time of recent prompts
	lastSent   time.Time     // time of the last prompt
}

// prompt is a prompt that was sent and is not confirmed yet.
type prompt struct {
	turn     uint64
	cost     time.Duration
	expected time.Duration // from the begin of its reading to its first event
	sent     time.Time
	due      time.Time
}

// Wait returns how long a prompt of the given reading time has to wait. maxStall is how long reading may hold up a stream, and
// eventGap is the time without reading in which every stream gets its next event. Prompts join the current burst while its
// total fits into maxStall, since an event may need several steps, each of which may read prompts. Others wait for the next
// gap, and so does a prompt that exceeds maxStall by itself.
func (p *Pace) Wait(now time.Time, cost, maxStall, eventGap time.Duration) time.Duration {
	free := p.finishTime(now).Add(p.idleTime(eventGap)).Sub(now)
	if free <= 0 || p.burstCost+cost <= maxStall {
		return 0
	}
	return free
}

// finishTime returns when the prompts sent are expected to be read.
func (p *Pace) finishTime(now time.Time) time.Time {
	p.unread = slices.DeleteFunc(p.unread, func(o prompt) bool { return now.Sub(o.due) > readTimeout })
	if len(p.unread) > 0 && p.busyUntil.Before(now.Add(recheckInterval)) {
		return now.Add(recheckInterval)
	}
	return p.busyUntil
}

// idleTime returns how long the engine must read nothing after the current burst.
func (p *Pace) idleTime(eventGap time.Duration) time.Duration {
	if !p.saturated() {
		return eventGap
	}
	return max(eventGap, time.Duration(restRatio*float64(p.burstCost)))
}

// saturated reports whether the engine has recently spent most of its time reading.
func (p *Pace) saturated() bool {
	return p.recentCost > time.Duration(sustainedShare*float64(loadDecay))
}

// Send records a prompt that is sent now.
func (p *Pace) Send(now time.Time, cost, eventGap time.Duration) {
	if !now.Before(p.finishTime(now).Add(p.idleTime(eventGap))) {
		p.burstCost = 0
	}
	p.burstCost += cost
	p.recentCost = cost + time.Duration(float64(p.recentCost)*math.Exp(-now.Sub(p.lastSent).Seconds()/loadDecay.Seconds()))
	p.lastSent = now
	if p.busyUntil.Before(now) {
		p.busyUntil = now
	}
	p.busyUntil = p.busyUntil.Add(cost)
}

// Expect announces that MarkRead will be called for the prompt sent last, at its first event, which comes an eventGap after
// reading.
func (p *Pace) Expect(turn uint64, now time.Time, cost, eventGap time.Duration) {
	p.unread = append(p.unread, prompt{turn: turn, cost: cost, expected: cost + eventGap, sent: now, due: p.busyUntil})
}

// MarkRead confirms that the prompt of a turn was read and returns its actual and expected times; 0 if it was not expected.
func (p *Pace) MarkRead(turn uint64, now time.Time) (took, expected time.Duration) {
	o, ok := p.remove(turn, now)
	if !ok {
		return 0, 0
	}
	startedAt := o.sent
	if p.lastRead.After(startedAt) {
		startedAt = p.lastRead
	}
	p.lastRead = now
	return now.Sub(startedAt), o.expected
}

// Drop notes that the prompt of a turn is not sent, or gets no answer.
func (p *Pace) Drop(turn uint64, now time.Time) {
	p.remove(turn, now)
}

// remove takes a prompt off the unconfirmed ones and recomputes busyUntil.
func (p *Pace) remove(turn uint64, now time.Time) (prompt, bool) {
	i := slices.IndexFunc(p.unread, func(o prompt) bool { return o.turn == turn })
	if i < 0 {
		return prompt{}, false
	}
	o := p.unread[i]
	p.unread = slices.Delete(p.unread, i, i+1)
	p.busyUntil = now
	for _, left := range p.unread {
		p.busyUntil = p.busyUntil.Add(left.cost)
	}
	return o, true
}

// Spacing returns the time from a prompt of the given cost to the next one when many wait.
func (p *Pace) Spacing(cost time.Duration) time.Duration {
	if !p.saturated() {
		return cost
	}
	return time.Duration((1 + restRatio) * float64(cost))
}

// Backlog returns how long the engine will be reading the prompts sent.
func (p *Pace) Backlog(now time.Time) time.Duration {
	return max(0, p.finishTime(now).Sub(now))
}
