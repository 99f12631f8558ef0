// Package tempo works out how fast one engine makes events, from what all hosts have measured of their streams there.
//
// A single host has a stream at an engine now and then; all of them together see hundreds of its events a second. So the host that grants
// the engine's turns adds up what they tell. Engines of one pool may differ by a factor of three, and one may turn slow: with one speed
// for all, slow engines are given more prompts than they can read while fast ones have nothing to do.
package tempo

import (
	"slices"
	"time"
)

const (
	// life is how long what a host told counts.
	life = 4 * time.Second
	// enough is how many events a new value needs.
	enough = 24
	// steady is the part of the value by which it must change to be told anew: every change is told to all hosts.
	steady = 0.08
	// forget is after how long without a measurement the engine counts as unknown again: it may have recovered, and nothing would be sent
	// there to find out.
	forget = 30 * time.Second
)

// Tempo is used from one goroutine at a time.
type Tempo struct {
	hosts map[string]report
	event time.Duration
	at    time.Time // when event was last found or confirmed
}

// report is what one host has measured.
type report struct {
	event time.Duration
	count int
	at    time.Time
}

// Begin takes what another host had found of the engine before; what is measured here goes first.
func (t *Tempo) Begin(event time.Duration, now time.Time) {
	if t.event == 0 {
		t.event, t.at = event, now
	}
}

// Take takes the usual time between two events that a host has measured over so many of them.
func (t *Tempo) Take(host string, event time.Duration, count int, at time.Time) {
	if count == 0 || !at.After(t.hosts[host].at) {
		return
	}
	if t.hosts == nil {
		t.hosts = map[string]report{}
	}
	t.hosts[host] = report{event, count, at}
}

// Reset forgets everything: the engine has begun anew, perhaps on another machine.
func (t *Tempo) Reset() {
	*t = Tempo{}
}

// Event returns the usual time between two events of a stream there; 0 where it is unknown.
func (t *Tempo) Event(now time.Time) time.Duration {
	event, count := t.median(now)
	if count >= enough {
		t.at = now
		if change := (event - t.event).Abs(); float64(change) > steady*float64(t.event) {
			t.event = event
		}
	}
	if now.Sub(t.at) > forget {
		t.event = 0
	}
	return t.event
}

// median returns the median of what hosts told, each by the events that it has measured, and how many those are. A host that is slow itself
// gets its events late and in heaps; the median follows no single one.
func (t *Tempo) median(now time.Time) (time.Duration, int) {
	var list []report
	sum := 0
	for host, r := range t.hosts {
		if now.Sub(r.at) > life {
			delete(t.hosts, host)
			continue
		}
		list = append(list, r)
		sum += r.count
	}
	slices.SortFunc(list, func(a, b report) int { return int(a.event - b.event) })
	below := 0
	for _, r := range list {
		if below += r.count; 2*below >= sum {
			return r.event, sum
		}
	}
	return 0, 0
}
