package sched

import (
	"time"

	"damaskreach/internal/order"
	"damaskreach/internal/reason"
	"damaskreach/pkg/refuse"
)

// plan takes every decision that the present state calls for and returns the orders.
func (s *Sched) plan(now time.Time) []order.Order {
	s.now = now
	if s.closed != "" {
		return s.take()
	}
	s.refuseFailing(now)
	s.refuseLate(now)
	s.start(now)
	s.shed(now)
	s.unloadAgain(now)
	s.unloadLost(now)
	s.loadWanted(now)
	s.refuseStuck(now)
	s.loadAhead(now)
	return s.take()
}

// refuseFailing refuses attempts for a model whose loads keep failing, until the next try is due.
func (s *Sched) refuseFailing(now time.Time) {
	for k := 0; k < len(s.queue); {
		m := s.queue[k].model
		if m != nil && m.state == absent && m.failures >= loadTries && now.Before(m.after) {
			s.refuse(s.queue[k], refuse.LoadFailed, "the adapter could not be loaded", m.after.Sub(now))
			continue
		}
		k++
	}
}

// start starts queued attempts while the batch has room.
func (s *Sched) start(now time.Time) {
	for len(s.running) < s.batch {
		next := s.next()
		if next == nil {
			return
		}
		s.remove(next)
		s.run(now, next)
	}
}

// next returns the attempt to start first among those that can start, or nil.
func (s *Sched) next() *item {
	var best *item
	for _, i := range s.queue {
		if i.ready() && (best == nil || s.before(i, best)) {
			best = i
		}
	}
	return best
}

// run starts one attempt.
func (s *Sched) run(now time.Time, i *item) {
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
		why.Stall = max(0, i.model.changed.Sub(i.arrived))
	}
	s.out = append(s.out, order.Order{Kind: order.Start, Attempt: i.call.Attempt, Model: why.Model, Why: why})
}

// shed refuses the least urgent attempts that are over the bound of the queue.
// It comes after start, so that nothing is refused that could have started.
func (s *Sched) shed(now time.Time) {
	for len(s.queue) > max(1, s.tune.Queue) {
		worst := s.queue[0]
		for _, i := range s.queue[1:] {
			if s.before(worst, i) {
				worst = i
			}
		}
		s.refuse(worst, refuse.Overloaded, "the admission queue is full", s.turnover())
	}
}

// turnover returns how long it takes until about one place in the queue comes free.
func (s *Sched) turnover() time.Duration {
	if len(s.running) == 0 {
		return s.load.value
	}
	return max(s.answer.value/time.Duration(len(s.running)), minRetry)
}

const minRetry = 100 * time.Millisecond
