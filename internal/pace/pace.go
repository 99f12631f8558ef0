// Package pace spaces the prompts that one engine is given, so that the streams it runs do not stall.
//
// An engine reads prompts in the same steps in which it makes the next token of every stream, so that all its streams wait for the sum of the
// prompts that arrive together. Here a prompt waits until those being read leave room for it in the pause that streams allow, and for a rest behind
// them where the engine is asked for more than it can read.
//
// How long an engine reads is an estimate, and engines turn slow for moments. Hosts say when a prompt has been read; until then it counts as
// being read, however long that takes. By the estimate alone, a slow engine would get the next prompts while it reads the last ones.
package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// rest is the part of the time that prompts took to read in which none is read afterwards, at an engine that is asked for more
	// than it can do. Reading nearly all the time, it would give each stream one event in a reading: none pauses too long, and the
	// long ones do not end before their callers leave.
	rest = 0.35
	// sustained is the part of the last seconds in which an engine must have read for that, and memory how many seconds those are. A
	// burst is over before streams fall behind; resting in it makes requests late that the engine could read in time.
	sustained = 0.5
	memory    = 2 * time.Second
	// look is how soon a prompt that is overdue is looked at again, and lost how long after it was due nobody is expected to say any more
	// that it was read.
	look = 20 * time.Millisecond
	lost = 1500 * time.Millisecond
)

// Pace is the record of one engine. It is used from one goroutine.
type Pace struct {
	end  time.Time     // when the prompts that were sent should be read
	open []prompt      // those of them that somebody will say to have been read
	last time.Time     // when the last of those was read that somebody told of
	read time.Duration // how long those take that are read without a pause long enough for an event between them
	load time.Duration // how long the prompts of the last seconds take to read, fading
	at   time.Time     // of the last of them
}

// prompt is one that was sent.
type prompt struct {
	turn     uint64
	cost     time.Duration
	expected time.Duration // from when its reading begins to its first event
	sent     time.Time
	due      time.Time
}

// Wait returns how long a prompt that takes cost to read has to wait. Room is how long reading may hold up a stream, and
// tail the time without reading in which every stream gets its next event. Prompts join those being read while all of them
// fit into the room: an event may need several steps, and each of them may read prompts. Others wait for the next tail, and
// so does a prompt that needs more than the room by itself.
func (p *Pace) Wait(now time.Time, cost, room, tail time.Duration) time.Duration {
	free := p.ends(now).Add(p.pause(tail)).Sub(now)
	if free <= 0 || p.read+cost <= room {
		return 0
	}
	return free
}

// ends returns when the prompts that were sent should be read.
func (p *Pace) ends(now time.Time) time.Time {
	p.open = slices.DeleteFunc(p.open, func(o prompt) bool { return now.Sub(o.due) > lost })
	if len(p.open) > 0 && p.end.Before(now.Add(look)) {
		return now.Add(look)
	}
	return p.end
}

// pause returns how long nothing is read after the prompts that were read last.
func (p *Pace) pause(tail time.Duration) time.Duration {
	if !p.full() {
		return tail
	}
	return max(tail, time.Duration(rest*float64(p.read)))
}

// full reports whether the engine has read for most of the last seconds.
func (p *Pace) full() bool {
	return p.load > time.Duration(sustained*float64(memory))
}

// Send records a prompt that is sent now.
func (p *Pace) Send(now time.Time, cost, tail time.Duration) {
	if !now.Before(p.ends(now).Add(p.pause(tail))) {
		p.read = 0
	}
	p.read += cost
	p.load = cost + time.Duration(float64(p.load)*math.Exp(-now.Sub(p.at).Seconds()/memory.Seconds()))
	p.at = now
	if p.end.Before(now) {
		p.end = now
	}
	p.end = p.end.Add(cost)
}

// Expect notes that somebody will say when the prompt that was sent last, for this turn, has been read: when its first event has come, a tail
// behind.
func (p *Pace) Expect(turn uint64, now time.Time, cost, tail time.Duration) {
	p.open = append(p.open, prompt{turn: turn, cost: cost, expected: cost + tail, sent: now, due: p.end})
}

// Read notes that the prompt sent for a turn has been read, and returns how long that took and was expected to; 0 where nobody expected it.
func (p *Pace) Read(turn uint64, now time.Time) (took, expected time.Duration) {
	o, ok := p.close(turn, now)
	if !ok {
		return 0, 0
	}
	begun := o.sent
	if p.last.After(begun) {
		begun = p.last
	}
	p.last = now
	return now.Sub(begun), o.expected
}

// Drop notes that the prompt of a turn is not sent, or gets no answer.
func (p *Pace) Drop(turn uint64, now time.Time) {
	p.close(turn, now)
}

// close takes a prompt off those that are open.
func (p *Pace) close(turn uint64, now time.Time) (prompt, bool) {
	at := slices.IndexFunc(p.open, func(o prompt) bool { return o.turn == turn })
	if at < 0 {
		return prompt{}, false
	}
	o := p.open[at]
	p.open = slices.Delete(p.open, at, at+1)
	p.end = now
	for _, left := range p.open {
		p.end = p.end.Add(left.cost)
	}
	return o, true
}

// Takes returns how much later the next prompt may go behind one that takes cost to read, where many wait.
func (p *Pace) Takes(cost time.Duration) time.Duration {
	if !p.full() {
		return cost
	}
	return time.Duration((1 + rest) * float64(cost))
}

// Backlog returns how long the engine has prompts to read.
func (p *Pace) Backlog(now time.Time) time.Duration {
	return max(0, p.ends(now).Sub(now))
}
