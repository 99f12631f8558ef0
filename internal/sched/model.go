package sched

import (
	"cmp"
	"slices"
	"time"

	"damaskreach/internal/decay"
)

// state says where a model stands on the runner.
type state int

const (
	absent    state = iota
	loading         // a Load was ordered and not confirmed; its slot is taken
	resident        // requests may start
	unloading       // an Unload was ordered and not confirmed; its slot is still taken
	barred          // an earlier owner may be unloading it; nothing starts and its slot counts as taken
)

// model is what is known of one adapter version on this runner, resident or not.
type model struct {
	name     string
	state    state
	running  int       // requests in progress
	waiting  int       // requests queued
	foreign  int       // requests in progress that the engine reports and this owner did not start
	pinned   bool      // must not be unloaded yet
	adopted  bool      // was resident before this owner ordered any load of it
	late     bool      // an unload of it without an answer may still arrive: starts nothing and is not loaded
	since    time.Time // when it became late
	drain    bool      // starts nothing more, so that it can be unloaded
	used     time.Time // latest submit
	lost     bool      // the engine does not list it: starts nothing and is unloaded once unused
	changed  time.Time // latest change of state
	missing  int       // reports in a row that do not list it though it is held resident
	failures int       // loads in a row that failed
	after    time.Time // no load before
	again    time.Time // when a failed unload is repeated; zero while none is
	refused  int       // unloads in a row that failed
	gone     bool      // the engine did not list it when its unload was ordered or since
	demand   decay.Count
}

// turn changes the state of a model and keeps the list of those that hold a slot.
func (s *Sched) turn(now time.Time, m *model, next state) {
	if m.state == absent && next != absent {
		at, _ := slices.BinarySearchFunc(s.held, m.name, byName)
		s.held = slices.Insert(s.held, at, m)
	}
	if m.state != absent && next == absent {
		s.held = slices.DeleteFunc(s.held, func(held *model) bool { return held == m })
	}
	m.state = next
	m.changed = now
	m.drain = false
	m.lost = false
	m.adopted = false
	m.again = time.Time{}
	m.missing = 0
}

func byName(m *model, name string) int {
	return cmp.Compare(m.name, name)
}

// open reports whether requests may start.
func (m *model) open() bool {
	return m.state == resident && !m.drain && !m.lost && !m.late
}

// idle reports whether the model may be unloaded without cutting or stranding a request.
func (m *model) idle() bool {
	return m.state == resident && !m.lost && m.running == 0 && m.foreign == 0 && !m.pinned
}

// model returns the record of a model and makes one where there is none.
func (s *Sched) model(name string) *model {
	m := s.models[name]
	if m == nil {
		m = &model{name: name}
		s.models[name] = m
	}
	return m
}

// free returns how many slots hold nothing.
func (s *Sched) free() int {
	return max(0, s.slots-len(s.held))
}

// count returns how many models are in a state other than absent.
func (s *Sched) count(want state) int {
	n := 0
	for _, m := range s.held {
		if m.state == want {
			n++
		}
	}
	return n
}

// forget drops records of absent models that nobody asks for, so that the table stays small.
func (s *Sched) forget(now time.Time) {
	if len(s.models) < manyModels {
		return
	}
	for name, m := range s.models {
		unused := m.state == absent && m.waiting == 0 && m.failures == 0 && !m.pinned && !m.late
		if unused && m.demand.At(now, s.tune.HalfLife) < littleDemand {
			delete(s.models, name)
		}
	}
}
