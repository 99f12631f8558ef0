package giver_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/giver"
	"damaskreach/internal/want"
)

// toldLeaving is within which a request that waits at an engine is told that the engine has begun to leave.
const toldLeaving = 350 * time.Millisecond

// waits has a request wait at the engine, which begins to leave a moment later, and returns after how long it is told what.
func waits(t *testing.T, e *engine, g *giver.Giver, w want.Want) (after time.Duration, err error) {
	t.Helper()
	const moment = 50 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	time.AfterFunc(moment, func() { e.leaves.Store(true) })
	begun := time.Now()
	err = g.Admit(ctx, w)
	return time.Since(begun) - moment, err
}

// fill takes all that the engine runs at once.
func fill(t *testing.T, e *engine, g *giver.Giver) {
	t.Helper()
	for range e.slots {
		if err := g.Admit(t.Context(), prompt()); err != nil {
			t.Fatalf("turn: %v", err)
		}
	}
}

// prompt is a request for a turn with an adapter that the engine holds.
func prompt() want.Want {
	return want.Want{
		ID: "e", Host: "h", Model: "m", Adapter: name(0), Cost: time.Millisecond, Held: true, Room: time.Second, Limit: 3 * time.Second,
	}
}

// An engine begins to leave while requests wait there: for an adapter on its way, or for a turn. Nobody looks at the load any more, and the turn
// would be at an engine that takes nothing new: left to wait, they would be refused when their time is over, though others have room.
func TestRequestsThatWaitAtAnEngineThatLeavesAreToldAtOnce(t *testing.T) {
	load := want.Want{ID: "e", Host: "h", Model: "m", Adapter: name(1), Limit: 3 * time.Second}
	for what, play := range map[string]struct {
		foreign bool // another host orders the engine
		full    bool // all that it runs at once is taken
		want    want.Want
	}{
		"for a load":                           {want: load},
		"for a turn":                           {full: true, want: prompt()},
		"for a turn at an engine without host": {foreign: true, full: true, want: prompt()},
	} {
		t.Run(what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newEngine(4)
				e.slots, e.foreign = 2, play.foreign
				g := desk(t, e)
				if !play.foreign {
					if err := admit(t, g, name(0)); err != nil {
						t.Fatalf("load: %v", err)
					}
				}
				if play.full {
					fill(t, e, g)
				}
				after, err := waits(t, e, g, play.want)
				if !errors.Is(err, want.ErrLeaves) || after > toldLeaving {
					t.Errorf("told %v, %v after the engine began to leave, want %v within %v", err, after, want.ErrLeaves, toldLeaving)
				}
			})
		})
	}
}

// An engine has begun to leave, and hosts that have not heard of it yet still ask the one that orders it.
func TestEngineThatLeavesGrantsNoTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(4)
		g := loaded(t, e)
		e.leaves.Store(true)
		begun := time.Now()
		err := g.Admit(t.Context(), prompt())
		if got := time.Since(begun); !errors.Is(err, want.ErrLeaves) || got > time.Millisecond {
			t.Errorf("a turn at an engine that leaves = %v after %v, want %v at once", err, got, want.ErrLeaves)
		}
	})
}
