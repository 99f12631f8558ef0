package sched

import (
	"time"

	"damaskreach/internal/order"
	"damaskreach/pkg/refuse"
)

const (
	maxLoadFailures = 3 // consecutive failures after which queued attempts are refused
	minBackoff      = 250 * time.Millisecond
	maxBackoff      = 10 * time.Second
)

// Loaded ends a Load order. With an error the slot is free again and the load is retried after a backoff; after maxLoadFailures
// failures the attempts that wait for the model are refused.
func (s *Sched) Loaded(now time.Time, name string, err error) []order.Order {
	m := s.models[name]
	if m == nil || m.state != loading {
		return s.plan(now)
	}
	if err == nil {
		s.loadTime.learn(now.Sub(m.changedAt))
		s.minLoadSeconds.learn(now.Sub(m.changedAt).Seconds())
		s.setState(now, m, resident)
		m.loadFailures = 0
		return s.plan(now)
	}
	s.setState(now, m, absent)
	m.loadFailures++
	m.noLoadBefore = now.Add(backoff(m.loadFailures))
	if m.loadFailures >= maxLoadFailures {
		s.refuseWaiters(now, m)
	}
	return s.plan(now)
}

// backoff returns the pause after so many consecutive failures, which doubles with each.
func backoff(failures int) time.Duration {
	wait := minBackoff
	for range failures - 1 {
		wait = min(2*wait, maxBackoff)
	}
	return wait
}

// refuseWaiters refuses all attempts that wait for a model that fails to load.
func (s *Sched) refuseWaiters(now time.Time, m *model) {
	for _, i := range s.waitersOf(m) {
		s.refuse(i, refuse.LoadFailed, "the adapter could not be loaded", m.noLoadBefore.Sub(now))
	}
}

func (s *Sched) waitersOf(m *model) []*item {
	var waiters []*item
	for _, i := range s.queue {
		if i.model == m {
			waiters = append(waiters, i)
		}
	}
	return waiters
}

// Unloaded ends an Unload order. After an error the model may or may not be resident, so its slot stays taken and no request starts on it
// until a second Unload is confirmed: either assumption could start a request without its adapter, or load into a
// taken slot. An engine that never had the model counts as success.
func (s *Sched) Unloaded(now time.Time, name string, err error) []order.Order {
	m := s.models[name]
	if m == nil || m.state != unloading {
		return s.plan(now)
	}
	if err == nil {
		m.unloadFailures, m.gone, s.unsentUnloads = 0, false, 0
		s.setState(now, m, absent)
		return s.plan(now)
	}
	m.unloadFailures++
	m.retryUnloadAt = now.Add(minBackoff)
	return s.plan(now)
}

// UnloadUnsent ends an Unload order that was never sent: the model stays resident and serves requests, and the next unload waits for
// a backoff. If orders must be announced in the table service and it is down, models counted as unloading would serve nobody
// until the end of the outage.
func (s *Sched) UnloadUnsent(now time.Time, name string) []order.Order {
	m := s.models[name]
	if m == nil || m.state != unloading {
		return s.plan(now)
	}
	s.unsentUnloads++
	s.noUnloadBefore = now.Add(backoff(s.unsentUnloads))
	if m.unloadFailures > 0 {
		m.retryUnloadAt = s.noUnloadBefore // an earlier order was sent, so the model may be gone
		return s.plan(now)
	}
	s.setState(now, m, resident)
	m.lost, m.gone = m.gone, false
	return s.plan(now)
}
