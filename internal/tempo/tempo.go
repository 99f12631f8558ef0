// Package tempo aggregates how fast one engine generates events, from the measurements of all hosts.
//
// A single host has few streams at an engine, but all of them together see hundreds of its events a second. So the engine's
// owner aggregates their reports. Engines of one pool differ by a factor of three, and one may slow down;
// with one speed for all, slow engines would get more prompts than they can read while fast ones stay idle.
package tempo

import (
	"slices"
	"time"
)

const (
	// reportTTL is how long a host's report counts.
	reportTTL = 4 * time.Second
	// minEvents is the number of events that a new value needs.
	minEvents = 24
	// minChange is the relative change from which a new value is published, since each is sent to all hosts.
	minChange = 0.08
	// valueTTL is how long a value is kept without measurements: the engine may have recovered, and without requests nobody
	// would notice.
	valueTTL = 30 * time.Second
)

// Tempo is the estimate of one engine. It is not safe for concurrent use.
type Tempo struct {
	hosts     map[string]report
	gap       time.Duration
	updatedAt time.Time // when gap was last computed or confirmed
}

// report is what one host has measured.
type report struct {
	gap        time.Duration
	count      int
	reportedAt time.Time
}

// SetPrior sets the gap that another host computed before, unless there is already a value.
func (t *Tempo) SetPrior(gap time.Duration, now time.Time) {
	if t.gap == 0 {
		t.gap, t.updatedAt = gap, now
	}
}

// AddReport records a host's usual gap between events and the number of events it measured.
func (t *Tempo) AddReport(host string, gap time.Duration, count int, reportedAt time.Time) {
	if count == 0 || !reportedAt.After(t.hosts[host].reportedAt) {
		return
	}
	if t.hosts == nil {
		t.hosts = map[string]report{}
	}
	t.hosts[host] = report{gap, count, reportedAt}
}

// Reset drops everything: the engine has restarted, perhaps on another machine.
func (t *Tempo) Reset() {
	*t = Tempo{}
}

// Gap returns the usual time between two events of a stream; 0 if unknown.
func (t *Tempo) Gap(now time.Time) time.Duration {
	gap, count := t.median(now)
	if count >= minEvents {
		t.updatedAt = now
		if change := (gap - t.gap).Abs(); float64(change) > minChange*float64(t.gap) {
			t.gap = gap
		}
	}
	if now.Sub(t.updatedAt) > valueTTL {
		t.gap = 0
	}
	return t.gap
}

// median returns the median of the reported gaps, weighted by events, and the number of events. A slow host receives its
// events late and in bursts; the median is robust against it.
func (t *Tempo) median(now time.Time) (time.Duration, int) {
	var list []report
	sum := 0
	for host, r := range t.hosts {
		if now.Sub(r.reportedAt) > reportTTL {
			delete(t.hosts, host)
			continue
		}
		list = append(list, r)
		sum += r.count
	}
	slices.SortFunc(list, func(a, b report) int { return int(a.gap - b.gap) })
	below := 0
	for _, r := range list {
		if below += r.count; 2*below >= sum {
			return r.gap, sum
		}
	}
	return 0, 0
}
