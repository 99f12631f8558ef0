package sched

import (
	"slices"
	"time"

	"damaskreach/internal/decay"
	"damaskreach/internal/order"
	"damaskreach/internal/reason"
)

const (
	maxConcurrentLoads = 2               // per runner: the weight store serves one at full speed
	drainDelay         = 2 * time.Second // wait of a request after which a model in use is drained for its model
)

// loadWanted orders loads for queued attempts, and unloads to make room.
func (s *Sched) loadWanted(now time.Time) {
	if !s.known {
		return
	}
	loads := maxConcurrentLoads - s.countState(loading)
	free := s.freeSlots()
	unloads := s.countState(unloading)
	wanted := s.wanted(now)
	if len(wanted) == 0 {
		s.stopDraining()
	}
	for _, i := range wanted {
		switch {
		case loads <= 0:
			return
		case free > 0:
			free--
			s.orderLoad(now, i)
		case unloads > 0:
			unloads--
		default:
			s.makeRoom(now, i)
		}
		loads--
	}
}

// wanted returns the most urgent attempt for each absent model, most urgent first.
func (s *Sched) wanted(now time.Time) []*item {
	waiting := map[*model]*item{}
	for _, i := range s.queue {
		m := i.model
		if m == nil || m.state != absent || m.unloadUnanswered || now.Before(m.noLoadBefore) {
			continue
		}
		if best := waiting[m]; best == nil || s.before(i, best) {
			waiting[m] = i
		}
	}
	items := make([]*item, 0, len(waiting))
	for _, i := range waiting {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b *item) int {
		if s.before(a, b) {
			return -1
		}
		return 1
	})
	return items
}

// orderLoad loads the model of i into a free slot.
func (s *Sched) orderLoad(now time.Time, i *item) {
	m := i.model
	s.setState(now, m, loading)
	s.orders = append(s.orders, order.Order{Kind: order.Load, Model: m.name, Why: s.loadReason(now, m)})
}

// Urgency returns how long and how many attempts wait for a model, like the Why of a Load order. The caller uses it while a
// load waits for its permit.
func (s *Sched) Urgency(now time.Time, name string) reason.Reason {
	return s.loadReason(now, s.model(name))
}

func (s *Sched) loadReason(now time.Time, m *model) reason.Reason {
	why := reason.Reason{
		Kind:    reason.Load,
		Text:    "requests wait for the adapter",
		Model:   m.name,
		Runner:  s.runner.Name,
		Waiting: m.waiting,
		Free:    s.freeSlots(),
		Demand:  decay.PerMinute(m.demand.At(now, s.tune.HalfLife), s.tune.HalfLife),
	}
	for _, i := range s.waitersOf(m) {
		why.Wait = max(why.Wait, now.Sub(i.arrived))
	}
	return why
}

// makeRoom unloads the cheapest idle model, or drains one in use if i has waited for long.
func (s *Sched) makeRoom(now time.Time, i *item) {
	if now.Before(s.noUnloadBefore) {
		return
	}
	if victim := s.chooseVictim(now); victim != nil {
		s.orderUnload(now, victim, "it was in least demand of those that nothing uses")
		return
	}
	if now.Sub(i.arrived) < drainDelay || s.anyDraining() {
		return
	}
	if busy := s.leastBusy(); busy != nil {
		busy.draining = true
	}
}

// stopDraining lets drained models start requests again once no attempt waits for their slots; otherwise their own requests
// would wait for ever.
func (s *Sched) stopDraining() {
	for _, m := range s.held {
		m.draining = false
	}
}

// orderUnload unloads a model.
func (s *Sched) orderUnload(now time.Time, m *model, text string) {
	why := reason.Reason{
		Kind:    reason.Unload,
		Text:    text,
		Model:   m.name,
		Runner:  s.runner.Name,
		Running: len(s.running),
		Wait:    now.Sub(m.lastUsed),
		Demand:  decay.PerMinute(m.demand.At(now, s.tune.HalfLife), s.tune.HalfLife),
	}
	gone := m.lost || m.gone
	s.setState(now, m, unloading)
	m.gone = gone
	s.orders = append(s.orders, order.Order{Kind: order.Unload, Model: m.name, Why: why})
}

func (s *Sched) retryUnloads(now time.Time) {
	for _, m := range s.held {
		if m.state == unloading && !m.pinned && !m.retryUnloadAt.IsZero() && !now.Before(m.retryUnloadAt) {
			s.orderUnload(now, m, "its unload failed and is repeated")
		}
	}
}
