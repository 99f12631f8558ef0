package sched

import (
	"slices"
	"time"

	"damaskreach/internal/order"
	"damaskreach/internal/report"
)

const (
	reportLag    = 30 * time.Second // reports tell nothing about changes younger than this
	missingLimit = 3                // reports in a row without a model after which it is held gone
)

// Report takes the engine's own account in. It is late, so this owner's knowledge goes before it,
// except after a restart, which the engine alone knows of.
func (s *Sched) Report(now time.Time, r report.Report) []order.Order {
	if r.Slots > 0 {
		s.slots = r.Slots
	}
	if r.Batch > 0 {
		s.batch = r.Batch
	}
	switch {
	case !s.known:
		s.adopt(now, r.Resident, 0)
	case s.boot != r.Boot:
		s.restart(r.Resident)
		s.adopt(now, r.Resident, reportLag)
	default:
		s.adopt(now, r.Resident, reportLag)
		s.miss(now, r.Resident)
	}
	s.boot, s.known = r.Boot, true
	s.foreign(r.Running)
	return s.plan(now)
}

// restart marks what a restarted engine does not list as lost. The report is late: requests may have started
// and loads ended on the new start of the engine already. Dropping those would unload models in use and load into
// taken slots, so attempts in progress stay until Finish, which comes for those that were cut as well,
// and a lost model keeps its slot until its unload is confirmed.
func (s *Sched) restart(listed []string) {
	for _, m := range s.models {
		m.pinned = false
		m.foreign = 0
	}
	for _, m := range s.held {
		switch {
		case slices.Contains(listed, m.name):
		case m.state == resident:
			m.lost = true
		case m.state == unloading:
			m.gone = true
		}
	}
}

// unloadLost frees the slots of lost models that nothing uses any more.
func (s *Sched) unloadLost(now time.Time) {
	if now.Before(s.unloads) {
		return
	}
	for _, m := range s.held {
		if !s.hold && m.state == resident && m.lost && m.running == 0 && !m.pinned {
			s.orderUnload(now, m, "the engine does not list it any more")
		}
	}
}

// adopt takes residents over that this owner did not load, such as a former owner's.
// A model that this owner unloaded less than age ago is not taken over: the report may be older than that.
// It counts even where this owner holds every slot for taken, since one of its loads is then about to fail: passed over,
// the slot would look free again after that failure and the owner would go on loading into a full engine.
func (s *Sched) adopt(now time.Time, names []string, age time.Duration) {
	for _, name := range names {
		m := s.model(name)
		if m.state == absent && now.Sub(m.changed) >= age {
			s.turn(now, m, resident)
			m.used = now
			m.adopted = true
		}
	}
}

// miss marks residents as lost that several reports in a row do not list.
// An engine that evicted a model by itself would otherwise fail every request for it.
func (s *Sched) miss(now time.Time, names []string) {
	for _, m := range s.held {
		if m.state != resident || now.Sub(m.changed) < reportLag {
			continue
		}
		if slices.Contains(names, m.name) {
			m.missing = 0
			continue
		}
		m.missing++
		m.lost = m.lost || m.missing >= missingLimit
	}
}

// foreign notes requests on adopted models that the engine runs and this owner did not start.
// They may be a former owner's, so their models are not unloaded. On models that this owner loaded itself
// the difference is nothing but the lag of the report.
func (s *Sched) foreign(running map[string]int) {
	for _, m := range s.held {
		m.foreign = 0
		if m.adopted {
			m.foreign = max(0, running[m.name]-m.running)
		}
	}
}

// Pin keeps a model from being unloaded: a former owner's requests may still use it.
func (s *Sched) Pin(name string) []order.Order {
	s.model(name).pinned = true
	return nil
}

// Unpin ends a Pin.
func (s *Sched) Unpin(name string) []order.Order {
	s.model(name).pinned = false
	return s.plan(s.now)
}
