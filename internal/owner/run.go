package owner

import (
	"context"
	"time"

	"damaskreach/internal/call"
	"damaskreach/internal/loop"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// retryMoved is after how long a caller may retry if the owner has changed.
const retryMoved = time.Second

func notOwner(runner string) *refuse.Refusal {
	return refuse.NewRefusal(verd.NotRun, refuse.Moved, "runner %s is not owned by this node now", runner).WithRetry(retryMoved)
}

func enterFreely(context.Context, string, call.Call) (begin func() error, leave func(err error), err error) {
	return func() error { return nil }, func(error) {}, nil
}

// Run sends a call to a runner that this node owns under a fencing token, and forwards its answer piece by piece. It returns nil only for a
// complete answer; any error carries a verdict.
func (o *Owner) Run(ctx context.Context, name string, fence int64, c call.Call, head func(status int, kind string) error, emit func(token int, piece []byte) error) error {
	begin, leave, err := o.Enter(ctx, name, c)
	if err != nil {
		return err
	}
	err = o.run(ctx, name, fence, c, begin, head, emit)
	leave(err)
	return err
}

func (o *Owner) run(ctx context.Context, name string, fence int64, c call.Call, begin func() error, head func(status int, kind string) error, emit func(token int, piece []byte) error) error {
	s, err := loop.Get(ctx, o.Loop, func() submitted { return o.submit(name, fence, c) })
	if err != nil {
		// The step may still run. Canceling makes sure that the attempt that it submits does not start.
		_ = o.Loop.Post(func() { o.cancel(name, fence, c.Attempt) })
		return verd.Mark(err, verd.NotRun)
	}
	if s.refusal != nil {
		return s.refusal
	}
	if err := o.await(ctx, s, c); err != nil {
		return err
	}
	return o.generate(ctx, s.held, c, begin, head, emit)
}

type submitted struct {
	held    *held
	attempt *attempt
	refusal *refuse.Refusal
}

func (o *Owner) submit(name string, fence int64, c call.Call) submitted {
	h := o.held[name]
	if h == nil || h.fence != fence {
		return submitted{refusal: notOwner(name)}
	}
	if err := o.mayAct(h); err != nil {
		return submitted{refusal: notOwner(name)}
	}
	a := newAttempt(c)
	h.attempts[c.Attempt] = a
	t, _ := o.Catalog().Tenant(c.Tenant)
	h.sched.SetWeight(c.Tenant, t.Weight)
	o.carry(h, h.sched.Submit(time.Now(), c))
	h.hurry(c.Model())
	return submitted{held: h, attempt: a}
}

// await waits for the scheduler's decision. If the caller leaves first, the attempt is removed from the queue.
func (o *Owner) await(ctx context.Context, s submitted, c call.Call) error {
	select {
	case refusal := <-s.attempt.decided:
		if refusal != nil {
			return refusal
		}
		return nil
	case <-ctx.Done():
		_ = o.Loop.Post(func() { o.drop(s.held, c.Attempt) })
		return refuse.NewRefusal(verd.NotRun, refuse.Canceled, "the caller went away before the request started")
	}
}

func (o *Owner) cancel(name string, fence int64, attempt string) {
	if h := o.find(name, fence); h != nil {
		o.drop(h, attempt)
	}
}

// drop removes an attempt that has not been sent, even if it was to start.
func (o *Owner) drop(h *held, attempt string) {
	a := h.attempts[attempt]
	if a == nil {
		return
	}
	delete(h.attempts, attempt)
	if a.started {
		o.carry(h, h.sched.Finish(time.Now(), attempt, 0))
	} else {
		o.carry(h, h.sched.Cancel(time.Now(), attempt))
	}
	o.dropClosed()
}

func (o *Owner) generate(ctx context.Context, h *held, c call.Call, begin func() error, head func(status int, kind string) error, emit func(token int, piece []byte) error) error {
	ctx, cancel := context.WithTimeout(ctx, o.MaxRequest)
	defer cancel()
	tokens := 0
	defer func() {
		_ = o.Loop.Post(func() { o.finish(h, c.Attempt, tokens) })
	}()
	if err := o.mayAct(h); err != nil {
		return err
	}
	if err := begin(); err != nil {
		return err
	}
	o.Pause(BeforeStart)
	return h.engine.Generate(ctx, h.fence, c, head, func(token int, piece []byte) error {
		tokens = max(tokens, token)
		return emit(token, piece)
	})
}

func (o *Owner) finish(h *held, attempt string, tokens int) {
	o.news = true
	delete(h.attempts, attempt)
	o.carry(h, h.sched.Finish(time.Now(), attempt, tokens))
	o.dropClosed()
}
