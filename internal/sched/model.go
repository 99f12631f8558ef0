package sched

import (
	"cmp"
	"slices"
	"time"

	"damaskreach/internal/decay"
)

// state is the state of a model on the runner.
type state int

const (
	absent    state = iota
	loading         // a Load was ordered and not confirmed; the slot is taken
	resident        // requests may start
	unloading       // an Unload was ordered and not confirmed; the slot is still taken
	blocked         // an earlier owner may be unloading it: no request starts, and the slot counts as taken
)

// model is one adapter version on this runner, resident or not.
type model struct {
	name             string
	state            state
	running          int  // requests in progress
	waiting          int  // requests queued
	foreignRunning   int  // requests that the engine reports in progress and this owner did not start
	pinned           bool // must not be unloaded yet
	adopted          bool // resident before this owner ordered a load of it
	unloadUnanswered bool // an unanswered unload may still arrive: no request starts, and it is not loaded
	unansweredSince  time.Time
	draining         bool      // no request starts, so that it can be unloaded
	lastUsed         time.Time // by a submit
	lost             bool      // not on the engine's list: no request starts, and it is unloaded once unused
	changedAt        time.Time // of state
	missingReports   int       // consecutive ones that do not list it though it should be resident
	loadFailures     int       // consecutive
	noLoadBefore     time.Time
	retryUnloadAt    time.Time // zero if no unload failed
	unloadFailures   int       // consecutive
	gone             bool      // the engine did not list it when its unload was ordered, or since
	demand           decay.Count
}

// setState changes the state of a model and updates the list of models that hold a slot.
func (s *Sched) setState(now time.Time, m *model, next state) {
	if m.state == absent && next != absent {
		at, _ := slices.BinarySearchFunc(s.held, m.name, byName)
		s.held = slices.Insert(s.held, at, m)
	}
	if m.state != absent && next == absent {
		s.held = slices.DeleteFunc(s.held, func(held *model) bool { return held == m })
	}
	m.state = next
	m.changedAt = now
	m.draining = false
	m.lost = false
	m.adopted = false
	m.retryUnloadAt = time.Time{}
	m.missingReports = 0
}

func byName(m *model, name string) int {
	return cmp.Compare(m.name, name)
}

// startable reports whether requests may start on the model.
func (m *model) startable() bool {
	return m.state == resident && !m.draining && !m.lost && !m.unloadUnanswered
}

// evictable reports whether the model may be unloaded without cutting off or stranding a request.
func (m *model) evictable() bool {
	return m.state == resident && !m.lost && m.running == 0 && m.foreignRunning == 0 && !m.pinned
}

// model returns the record of a model and creates it if needed.
func (s *Sched) model(name string) *model {
	m := s.models[name]
	if m == nil {
		m = &model{name: name}
		s.models[name] = m
	}
	return m
}

// freeSlots returns how many slots hold no model.
func (s *Sched) freeSlots() int {
	return max(0, s.slots-len(s.held))
}

// countState returns how many models are in a state other than absent.
func (s *Sched) countState(want state) int {
	n := 0
	for _, m := range s.held {
		if m.state == want {
			n++
		}
	}
	return n
}

// dropUnused drops records of absent models without demand once there are many, to bound the table.
func (s *Sched) dropUnused(now time.Time) {
	if len(s.models) < maxRecords {
		return
	}
	for name, m := range s.models {
		unused := m.state == absent && m.waiting == 0 && m.loadFailures == 0 && !m.pinned && !m.unloadUnanswered
		if unused && m.demand.At(now, s.tune.HalfLife) < minDemand {
			delete(s.models, name)
		}
	}
}
