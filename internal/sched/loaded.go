package sched

import (
	"time"

	"damaskreach/internal/order"
	"damaskreach/pkg/refuse"
)

// Retrying failed loads.
const (
	loadTries    = 3 // failures in a row after which queued attempts are refused
	firstBackoff = 250 * time.Millisecond
	mostBackoff  = 10 * time.Second
)

// Loaded ends a Load order. With an error the slot is free again and the load is retried after a backoff;
// after loadTries failures the attempts that wait for the model are refused.
func (s *Sched) Loaded(now time.Time, name string, err error) []order.Order {
	m := s.models[name]
	if m == nil || m.state != loading {
		return s.plan(now)
	}
	if err == nil {
		s.load.learn(now.Sub(m.changed))
		s.fast.learn(now.Sub(m.changed).Seconds())
		s.turn(now, m, resident)
		m.failures = 0
		return s.plan(now)
	}
	s.turn(now, m, absent)
	m.failures++
	m.after = now.Add(backoff(m.failures))
	if m.failures >= loadTries {
		s.giveUp(now, m)
	}
	return s.plan(now)
}

// backoff doubles with each failure in a row.
func backoff(failures int) time.Duration {
	wait := firstBackoff
	for range failures - 1 {
		wait = min(2*wait, mostBackoff)
	}
	return wait
}

// giveUp refuses everything that waits for a model which does not load.
func (s *Sched) giveUp(now time.Time, m *model) {
	for _, i := range s.waitersOf(m) {
		s.refuse(i, refuse.LoadFailed, "the adapter could not be loaded", m.after.Sub(now))
	}
}

func (s *Sched) waitersOf(m *model) []*item {
	var found []*item
	for _, i := range s.queue {
		if i.model == m {
			found = append(found, i)
		}
	}
	return found
}

// Unloaded ends an Unload order. After an error the model may or may not be there, so its slot stays taken
// and nothing starts on it until a second Unload is confirmed: taking either for granted would start a request
// without its adapter, or load into a taken slot. An engine that never had the model counts as success.
func (s *Sched) Unloaded(now time.Time, name string, err error) []order.Order {
	m := s.models[name]
	if m == nil || m.state != unloading {
		return s.plan(now)
	}
	if err == nil {
		m.refused, m.gone, s.unsent = 0, false, 0
		s.turn(now, m, absent)
		return s.plan(now)
	}
	m.refused++
	m.again = now.Add(firstBackoff)
	return s.plan(now)
}

// Unsent ends an Unload order that was never sent: the model is resident as before and serves requests. The next unload waits
// a little. Where orders must be announced in the table service and it is down, models whose unload is under way would be
// of no use to anybody until the end of the outage.
func (s *Sched) Unsent(now time.Time, name string) []order.Order {
	m := s.models[name]
	if m == nil || m.state != unloading {
		return s.plan(now)
	}
	s.unsent++
	s.unloads = now.Add(backoff(s.unsent))
	if m.refused > 0 {
		m.again = s.unloads // an earlier order was sent, and the model may be gone
		return s.plan(now)
	}
	s.turn(now, m, resident)
	m.lost, m.gone = m.gone, false
	return s.plan(now)
}
