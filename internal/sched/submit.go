package sched

import (
	"time"

	"damaskreach/internal/call"
	"damaskreach/internal/order"
	"damaskreach/internal/reason"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// Submit takes an attempt in. It is started or refused, at once or by a later order.
// An attempt that was submitted before is ignored.
func (s *Sched) Submit(now time.Time, c call.Call) []order.Order {
	if !s.seen.add(c.Attempt) {
		return s.plan(now)
	}
	s.serial++
	i := &item{call: c, serial: s.serial, arrived: now}
	if c.Adapter != "" {
		i.model = s.model(c.Model())
		i.model.waiting++
		i.model.used = now
		i.model.demand.Add(now, s.tune.HalfLife)
		i.model.demand.Raise(now, s.tune.HalfLife, c.Demand)
	}
	s.queue = append(s.queue, i)
	if s.closed != "" {
		s.refuseMoved(i)
		return s.take()
	}
	if i.model != nil && s.known && s.slots <= 0 {
		s.refuse(i, refuse.NoUpstream, "the runner has no adapter slots", noSlotRetry)
	}
	return s.plan(now)
}

// noSlotRetry is when to come back after a runner turned out to have no slots: operators have to mend its row.
const noSlotRetry = 10 * time.Second

// Close takes no more work: queued attempts are refused at once, those in progress go on.
func (s *Sched) Close(now time.Time, why string) []order.Order {
	s.now = now
	s.closed = why
	for len(s.queue) > 0 {
		s.refuseMoved(s.queue[0])
	}
	return s.take()
}

func (s *Sched) refuseMoved(i *item) {
	s.refuse(i, refuse.Moved, s.closed, 0)
}

// refuse gives a queued attempt its final answer: it did not run.
func (s *Sched) refuse(i *item, code, text string, retry time.Duration) {
	why := reason.Reason{
		Kind:    code,
		Text:    text,
		Runner:  s.runner.Name,
		Running: len(s.running),
		Waiting: len(s.queue) - 1,
		Free:    s.free(),
		Wait:    retry,
	}
	if i.model != nil {
		why.Model = i.model.name
	}
	s.remove(i)
	refusal := refuse.NewRefusal(verd.NotRun, code, "%s", why).WithRetry(retry)
	s.out = append(s.out, order.Order{Kind: order.Refuse, Attempt: i.call.Attempt, Refusal: refusal, Why: why})
}
