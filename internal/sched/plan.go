package sched

import (
	"time"

	"damaskreach/internal/order"
	"damaskreach/internal/reason"
	"damaskreach/pkg/refuse"
)

// plan takes all decisions that the current state calls for and returns the orders.
func (s *Sched) plan(now time.Time) []order.Order {
	s.now = now
	if s.closeReason != "" {
		return s.takeOrders()
	}
	s.refuseFailing(now)
	s.refuseLate(now)
	s.startQueued(now)
	s.shedQueue(now)
	s.retryUnloads(now)
	s.unloadLost(now)
	s.loadWanted(now)
	s.refuseStuck(now)
	s.preload(now)
	return s.takeOrders()
}

// refuseFailing refuses attempts for models whose loads keep failing, until the next try is due.
func (s *Sched) refuseFailing(now time.Time) {
	for k := 0; k < len(s.queue); {
		m := s.queue[k].model
		if m != nil && m.state == absent && m.loadFailures >= maxLoadFailures && now.Before(m.noLoadBefore) {
			s.refuse(s.queue[k], refuse.LoadFailed, "the adapter could not be loaded", m.noLoadBefore.Sub(now))
			continue
		}
		k++
	}
}

// startQueued starts queued attempts while the batch has room.
func (s *Sched) startQueued(now time.Time) {
	for len(s.running) < s.batch {
		next := s.nextStartable()
		if next == nil {
			return
		}
		s.removeQueued(next)
		s.startItem(now, next)
	}
}

// nextStartable returns the first attempt that can start, or nil.
func (s *Sched) nextStartable() *item {
	var best *item
	for _, i := range s.queue {
		if i.ready() && (best == nil || s.before(i, best)) {
			best = i
		}
	}
	return best
}

func (s *Sched) startItem(now time.Time, i *item) {
	i.started = now
	s.running[i.call.Attempt] = i
	s.shares.start(i.call.Tenant, i.call.Tokens)
	why := reason.Reason{
		Kind:    reason.Started,
		Text:    "the batch had room and the model was resident",
		Runner:  s.runner.Name,
		Running: len(s.running),
		Waiting: len(s.queue),
		Wait:    now.Sub(i.arrived),
	}
	if i.model != nil {
		i.model.running++
		why.Model = i.model.name
		why.Stall = max(0, i.model.changedAt.Sub(i.arrived))
	}
	s.orders = append(s.orders, order.Order{Kind: order.Start, Attempt: i.call.Attempt, Model: why.Model, Why: why})
}

// shedQueue refuses the least urgent attempts above the queue limit. It runs after startQueued, so that no attempt is refused that
// could start.
func (s *Sched) shedQueue(now time.Time) {
	for len(s.queue) > max(1, s.tune.Queue) {
		worst := s.queue[0]
		for _, i := range s.queue[1:] {
			if s.before(worst, i) {
				worst = i
			}
		}
		s.refuse(worst, refuse.Overloaded, "the admission queue is full", s.queueTurnover())
	}
}

// queueTurnover returns the approximate time until a place in the queue is free.
func (s *Sched) queueTurnover() time.Duration {
	if len(s.running) == 0 {
		return s.loadTime.value
	}
	return max(s.answerTime.value/time.Duration(len(s.running)), minRetryAfter)
}

const minRetryAfter = 100 * time.Millisecond
