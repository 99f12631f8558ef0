package direct

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"damaskreach/internal/intent"
	"damaskreach/internal/spent"
	"damaskreach/internal/stats"
	"damaskreach/internal/target"
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
	w.Loaded = true
	err := x.admit(ctx, j, w)
	if errors.Is(err, intent.ErrPromptQueueFull) {
		x.Pick.Waits(t.ID, intent.WaitOf(err), time.Now())
	}
	if err != nil {
		j.did(intent.Code(err))
	}
	return err
}

// admit asks for a turn, which the request has then.
func (x *Direct) admit(ctx context.Context, j *job, w intent.Intent) error {
	x.release(&j.turn, false)
	w.Turn = rand.Uint64()
	err := x.Admit(ctx, w)
	outcome := "granted"
	if err != nil {
		outcome = intent.Code(err)
	} else {
		j.turn = turn{w.EngineID, w.Turn}
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		x.Spent(spent.Spent{Engine: w.EngineID, Turn: w.Turn}) // it may have been granted, and the answer be on its way
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

func (x *Direct) want(j *job, t target.Target, version int, bound time.Duration) intent.Intent {
	gap, cost := x.Speeds.Gap(t.ID), x.cost(j, t.ID)
	room := j.route.Gap - gap - gapSlack
	if j.route.Gap == 0 {
		room = leastRoom
	}
	return intent.Intent{
		EngineID: t.ID, Model: j.d.Model, Adapter: j.d.Adapter, Version: version, Priority: j.rank(), Streaming: j.headed,
		Team: j.team.Name, TeamWeight: j.team.Weight,
		PromptCost: max(time.Millisecond, cost), StallBudget: max(leastRoom, room), PauseTail: gap, MaxPromptWait: bound,
		MaxLoadWait: time.Until(j.hopeless()), TimeLeft: j.patience(time.Now(), x.takes(j, t.ID)),
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
