package direct

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"damaskreach/internal/spent"
	"damaskreach/internal/stats"
	"damaskreach/internal/target"
	"damaskreach/internal/want"
)

const (
	// leastTurn is the shortest wait for a turn: a round trip between hosts and some.
	leastTurn = 50 * time.Millisecond
	// gapSlack is kept free of the longest pause that a stream may have, for its way to the caller and for steps that are
	// longer than usual.
	gapSlack = 25 * time.Millisecond
	// careful is how much longer than estimated a prompt counts. The estimate is a median; where reading takes longer, the next
	// prompts come before streams got their event, and the pauses of both add up.
	careful = 1.15
	// leastRoom lets prompts through where a route names no pause or a very short one.
	leastRoom = 60 * time.Millisecond
)

// ask asks for the turn of the request's prompt at an engine that holds what it wants.
func (x *Direct) ask(ctx context.Context, j *job, t target.Target, version int, bound time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, min(loadFor, max(leastTurn, time.Until(j.hopeless()))))
	defer cancel()
	w := x.want(j, t, version, bound)
	w.Held = true
	err := x.admit(ctx, j, w)
	if errors.Is(err, want.ErrCrowded) {
		x.Pick.Waits(t.ID, want.Wait(err), time.Now())
	}
	if err != nil {
		j.did(want.Code(err))
	}
	return err
}

// admit asks for a turn, which the request has then.
func (x *Direct) admit(ctx context.Context, j *job, w want.Want) error {
	x.release(&j.turn, false)
	w.Turn = rand.Uint64()
	err := x.Admit(ctx, w)
	outcome := "granted"
	if err != nil {
		outcome = want.Code(err)
	} else {
		j.turn = turn{w.ID, w.Turn}
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		x.Spent(spent.Spent{Engine: w.ID, Turn: w.Turn}) // it may have been granted, and the answer be on its way
	}
	x.Stats.Add(stats.Admits, 1, "outcome", outcome)
	return err
}

// release gives back a turn, where there is one; read says that its prompt has been read.
func (x *Direct) release(t *turn, read bool) {
	if t.number != 0 {
		x.Spent(spent.Spent{Engine: t.engine, Turn: t.number, Read: read})
	}
	*t = turn{}
}

func (x *Direct) want(j *job, t target.Target, version int, bound time.Duration) want.Want {
	gap, cost := x.Speeds.Gap(t.ID), x.cost(j, t.ID)
	room := j.route.Gap - gap - gapSlack
	if j.route.Gap == 0 {
		room = leastRoom
	}
	return want.Want{
		ID: t.ID, Model: j.d.Model, Adapter: j.d.Adapter, Version: version, Rank: j.rank(), Begun: j.headed,
		Team: j.team.Name, Weight: j.team.Weight,
		Cost: max(time.Millisecond, cost), Room: max(leastRoom, room), Tail: gap, Bound: bound,
		Limit: time.Until(j.hopeless()), Patience: j.patience(time.Now(), x.takes(j, t.ID)),
	}
}

// cost returns how long the prompt is taken to be read by an engine.
func (x *Direct) cost(j *job, id string) time.Duration {
	return time.Duration(careful * float64(x.Speeds.Cost(id, j.d.Prompt)))
}

// takes returns how long after its turn at an engine the first event is expected.
func (x *Direct) takes(j *job, id string) time.Duration {
	return x.cost(j, id) + 2*x.Speeds.Gap(id)
}
