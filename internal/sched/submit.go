package sched

import (
	"time"

	"damaskreach/internal/call"
	"damaskreach/internal/order"
	"damaskreach/internal/reason"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// Submit queues an attempt, which is started or refused by the returned orders or later ones. A repeated attempt is ignored.
func (s *Sched) Submit(now time.Time, c call.Call) []order.Order {
	if !s.seen.add(c.Attempt) {
		return s.plan(now)
	}
	s.serial++
	i := &item{call: c, serial: s.serial, arrived: now}
	if c.Adapter != "" {
		i.model = s.model(c.Model())
		i.model.waiting++
		i.model.lastUsed = now
		i.model.demand.Add(now, s.tune.HalfLife)
		i.model.demand.Raise(now, s.tune.HalfLife, c.Demand)
	}
	s.queue = append(s.queue, i)
	if s.closeReason != "" {
		s.refuseMoved(i)
		return s.takeOrders()
	}
	if i.model != nil && s.known && s.slots <= 0 {
		s.refuse(i, refuse.NoUpstream, "the runner has no adapter slots", noSlotsRetryAfter)
	}
	return s.plan(now)
}

// noSlotsRetryAfter is the retry delay for a runner without slots: an operator has to fix its configuration row.
const noSlotsRetryAfter = 10 * time.Second

// Close accepts no more work: queued attempts are refused at once, those in progress continue.
func (s *Sched) Close(now time.Time, why string) []order.Order {
	s.now = now
	s.closeReason = why
	for len(s.queue) > 0 {
		s.refuseMoved(s.queue[0])
	}
	return s.takeOrders()
}

func (s *Sched) refuseMoved(i *item) {
	s.refuse(i, refuse.Moved, s.closeReason, 0)
}

// refuse refuses a queued attempt as not run.
func (s *Sched) refuse(i *item, code, text string, retry time.Duration) {
	why := reason.Reason{
		Kind:    code,
		Text:    text,
		Runner:  s.runner.Name,
		Running: len(s.running),
		Waiting: len(s.queue) - 1,
		Free:    s.freeSlots(),
		Wait:    retry,
	}
	if i.model != nil {
		why.Model = i.model.name
	}
	s.removeQueued(i)
	refusal := refuse.NewRefusal(verd.NotRun, code, "%s", why).WithRetry(retry)
	s.orders = append(s.orders, order.Order{Kind: order.Refuse, Attempt: i.call.Attempt, Refusal: refusal, Why: why})
}
