package sched

import (
	"slices"
	"time"

	"damaskreach/internal/order"
	"damaskreach/internal/report"
)

const (
	reportLag         = 30 * time.Second // reports may miss changes younger than this
	maxMissingReports = 3                // consecutive reports without a model after which it counts as gone
)

// Report takes a report of the engine. It lags, so this owner's own state takes precedence, except after a restart, which only
// the engine knows of.
func (s *Sched) Report(now time.Time, r report.Report) []order.Order {
	if r.Slots > 0 {
		s.slots = r.Slots
	}
	if r.Batch > 0 {
		s.batch = r.Batch
	}
	switch {
	case !s.known:
		s.adoptResidents(now, r.Resident, 0)
	case s.boot != r.Boot:
		s.handleRestart(r.Resident)
		s.adoptResidents(now, r.Resident, reportLag)
	default:
		s.adoptResidents(now, r.Resident, reportLag)
		s.markMissing(now, r.Resident)
	}
	s.boot, s.known = r.Boot, true
	s.countForeign(r.Running)
	return s.plan(now)
}

// handleRestart marks models that a restarted engine does not list as lost. The report lags: since the restart, requests may have
// started and loads ended. Dropping those would unload models in use and load into taken slots. So attempts in progress stay
// until Finish, which also comes for those that were cut off, and a lost model keeps its slot until its unload is confirmed.
func (s *Sched) handleRestart(listed []string) {
	for _, m := range s.models {
		m.pinned = false
		m.foreignRunning = 0
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

// unloadLost frees the slots of lost models that are not in use.
func (s *Sched) unloadLost(now time.Time) {
	if now.Before(s.noUnloadBefore) {
		return
	}
	for _, m := range s.held {
		if !s.unloadsHeld && m.state == resident && m.lost && m.running == 0 && !m.pinned {
			s.orderUnload(now, m, "the engine does not list it any more")
		}
	}
}

// adoptResidents adopts resident models that this owner did not load, such as a former owner's, but not those that it unloaded less than
// lag ago: the report may be older. Models are adopted even if all slots count as taken, since one of the owner's loads is then
// about to fail: otherwise the slot would look free after that failure, and the owner would go on loading into a full
// engine.
func (s *Sched) adoptResidents(now time.Time, names []string, lag time.Duration) {
	for _, name := range names {
		m := s.model(name)
		if m.state == absent && now.Sub(m.changedAt) >= lag {
			s.setState(now, m, resident)
			m.lastUsed = now
			m.adopted = true
		}
	}
}

// markMissing marks a resident model as lost once several consecutive reports of the engine do not list it. If the engine evicted a
// model by itself, every request for it would fail.
func (s *Sched) markMissing(now time.Time, listed []string) {
	for _, m := range s.held {
		if m.state != resident || now.Sub(m.changedAt) < reportLag {
			continue
		}
		if slices.Contains(listed, m.name) {
			m.missingReports = 0
			continue
		}
		m.missingReports++
		m.lost = m.lost || m.missingReports >= maxMissingReports
	}
}

// countForeign counts requests on adopted models that this owner did not start. They may be a former owner's, so the models
// are not unloaded. On models that this owner loaded, the difference is only the lag of the report.
func (s *Sched) countForeign(running map[string]int) {
	for _, m := range s.held {
		m.foreignRunning = 0
		if m.adopted {
			m.foreignRunning = max(0, running[m.name]-m.running)
		}
	}
}

// Pin keeps a model from being unloaded: requests of a former owner may still use it.
func (s *Sched) Pin(name string) []order.Order {
	s.model(name).pinned = true
	return nil
}

// Unpin ends a Pin.
func (s *Sched) Unpin(name string) []order.Order {
	s.model(name).pinned = false
	return s.plan(s.now)
}
