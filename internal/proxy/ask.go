package proxy

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
	// minTurnWait is the shortest timeout of a request for a turn: a round trip between hosts and some reserve.
	minTurnWait = 50 * time.Millisecond
	// gapSlack is deducted from the longest pause that a stream may have, for the way to the caller and for steps of the engine that
	// take longer than usual.
	gapSlack = 25 * time.Millisecond
	// costFactor is applied to the estimated time to read a prompt. The estimate is a median; where reading takes longer, the next
	// prompts would come before the streams got their event, and the pauses of both would add up.
	costFactor = 1.15
	// minRoom lets prompts through where a route sets no longest pause or a very short one.
	minRoom = 60 * time.Millisecond
)

// askTurn requests the turn of the request's prompt at an engine that holds its adapter.
func (p *Proxy) askTurn(ctx context.Context, j *job, t target.Target, version int, bound time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, min(loadTimeout, max(minTurnWait, time.Until(j.sendDeadline()))))
	defer cancel()
	w := p.newWant(j, t, version, bound)
	w.Loaded = true
	err := p.requestTurn(ctx, j, w)
	if errors.Is(err, intent.ErrPromptQueueFull) {
		p.Pick.SetWait(t.ID, intent.WaitOf(err), time.Now())
	}
	if err != nil {
		j.addNote(intent.Code(err))
	}
	return err
}

// requestTurn requests a turn and, once granted, records it in the job.
func (p *Proxy) requestTurn(ctx context.Context, j *job, w intent.Intent) error {
	p.releaseTurn(&j.turn, false)
	w.Turn = rand.Uint64()
	err := p.Admit(ctx, w)
	outcome := "granted"
	if err != nil {
		outcome = intent.Code(err)
	} else {
		j.turn = turn{w.EngineID, w.Turn}
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		p.EndTurn(spent.Spent{Engine: w.EngineID, Turn: w.Turn}) // the turn may have been granted and the reply be lost or late
	}
	p.Stats.Add(stats.Admits, 1, "outcome", outcome)
	return err
}

// releaseTurn gives back a turn, if there is one; read says that the engine has read its prompt.
func (p *Proxy) releaseTurn(t *turn, read bool) {
	if t.number != 0 {
		p.EndTurn(spent.Spent{Engine: t.engine, Turn: t.number, Read: read})
	}
	*t = turn{}
}

// newWant describes the turn that the request needs at an engine.
func (p *Proxy) newWant(j *job, t target.Target, version int, bound time.Duration) intent.Intent {
	gap, cost := p.Speeds.Gap(t.ID), p.promptCost(j, t.ID)
	room := j.route.Gap - gap - gapSlack
	if j.route.Gap == 0 {
		room = minRoom
	}
	priority, timeLeft := j.rank(), j.waitBudget(time.Now(), p.firstEventDelay(j, t.ID))
	if j.isTakenUp() {
		priority, timeLeft = priority-1, max(0, j.route.Target-time.Since(j.start)-p.firstEventDelay(j, t.ID))
	}
	return intent.Intent{
		EngineID: t.ID, Model: j.req.Model, Adapter: j.req.Adapter, Version: version, Priority: priority, Streaming: j.headerSent,
		Team: j.team.Name, TeamWeight: j.team.Weight,
		PromptCost: max(time.Millisecond, cost), StallBudget: max(minRoom, room), PauseTail: gap, MaxPromptWait: bound,
		MaxLoadWait: time.Until(j.sendDeadline()), TimeLeft: timeLeft,
	}
}

// promptCost returns how long an engine is expected to read the prompt.
func (p *Proxy) promptCost(j *job, id string) time.Duration {
	return time.Duration(costFactor * float64(p.Speeds.Cost(id, j.req.Prompt)))
}

// firstEventDelay returns the expected time from a turn at an engine to the first event.
func (p *Proxy) firstEventDelay(j *job, id string) time.Duration {
	return p.promptCost(j, id) + 2*p.Speeds.Gap(id)
}
