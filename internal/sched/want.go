package sched

import (
	"slices"
	"time"

	"damaskreach/internal/decay"
	"damaskreach/internal/order"
	"damaskreach/internal/reason"
)

const (
	loadsAtOnce = 2               // Load orders outstanding per runner: the store runs one at full speed
	drainAfter  = 2 * time.Second // wait after which a model in use is drained for one that is not resident
)

// loadWanted orders loads for the models that queued attempts wait for, and unloads to make room.
func (s *Sched) loadWanted(now time.Time) {
	if !s.known {
		return
	}
	room := loadsAtOnce - s.count(loading)
	free := s.free()
	coming := s.count(unloading)
	wanted := s.wanted(now)
	if len(wanted) == 0 {
		s.undrain()
	}
	for _, i := range wanted {
		switch {
		case room <= 0:
			return
		case free > 0:
			free--
			s.orderLoad(now, i)
		case coming > 0:
			coming--
		default:
			s.makeRoom(now, i)
		}
		room--
	}
}

// wanted returns the most urgent waiting attempt of each absent model, most urgent first.
func (s *Sched) wanted(now time.Time) []*item {
	first := map[*model]*item{}
	for _, i := range s.queue {
		m := i.model
		if m == nil || m.state != absent || m.late || now.Before(m.after) {
			continue
		}
		if best := first[m]; best == nil || s.before(i, best) {
			first[m] = i
		}
	}
	found := make([]*item, 0, len(first))
	for _, i := range first {
		found = append(found, i)
	}
	slices.SortFunc(found, func(a, b *item) int {
		if s.before(a, b) {
			return -1
		}
		return 1
	})
	return found
}

// orderLoad takes a free slot for the model of i.
func (s *Sched) orderLoad(now time.Time, i *item) {
	m := i.model
	s.turn(now, m, loading)
	s.out = append(s.out, order.Order{Kind: order.Load, Model: m.name, Why: s.urgency(now, m)})
}

// Urgency returns how long and how many attempts wait for a model, as the Load order's Why does. The driver asks it
// while a load waits for its permit.
func (s *Sched) Urgency(now time.Time, name string) reason.Reason {
	return s.urgency(now, s.model(name))
}

func (s *Sched) urgency(now time.Time, m *model) reason.Reason {
	why := reason.Reason{
		Kind:    reason.Load,
		Text:    "requests wait for the adapter",
		Model:   m.name,
		Runner:  s.runner.Name,
		Waiting: m.waiting,
		Free:    s.free(),
		Demand:  decay.PerMinute(m.demand.At(now, s.tune.HalfLife), s.tune.HalfLife),
	}
	for _, i := range s.waitersOf(m) {
		why.Wait = max(why.Wait, now.Sub(i.arrived))
	}
	return why
}

// makeRoom unloads the cheapest idle model, or drains one in use where i has waited long.
func (s *Sched) makeRoom(now time.Time, i *item) {
	if now.Before(s.unloads) {
		return
	}
	if victim := s.victim(now); victim != nil {
		s.orderUnload(now, victim, "it was in least demand of those that nothing uses")
		return
	}
	if now.Sub(i.arrived) < drainAfter || s.draining() {
		return
	}
	if busy := s.leastUsed(); busy != nil {
		busy.drain = true
	}
}

// undrain lets drained models start requests again once nothing waits for their slot;
// otherwise the requests queued for them would wait for ever.
func (s *Sched) undrain() {
	for _, m := range s.held {
		m.drain = false
	}
}

// orderUnload gives a model's slot up.
func (s *Sched) orderUnload(now time.Time, m *model, text string) {
	why := reason.Reason{
		Kind:    reason.Unload,
		Text:    text,
		Model:   m.name,
		Runner:  s.runner.Name,
		Running: len(s.running),
		Wait:    now.Sub(m.used),
		Demand:  decay.PerMinute(m.demand.At(now, s.tune.HalfLife), s.tune.HalfLife),
	}
	gone := m.lost || m.gone
	s.turn(now, m, unloading)
	m.gone = gone
	s.out = append(s.out, order.Order{Kind: order.Unload, Model: m.name, Why: why})
}

// unloadAgain repeats unloads that failed.
func (s *Sched) unloadAgain(now time.Time) {
	for _, m := range s.held {
		if m.state == unloading && !m.pinned && !m.again.IsZero() && !now.Before(m.again) {
			s.orderUnload(now, m, "its unload failed and is repeated")
		}
	}
}
