package loader_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/intent"
	"damaskreach/internal/loader"
)

// drainNotifyTimeout is within which a waiting request is refused once its engine drains.
const drainNotifyTimeout = 350 * time.Millisecond

// admitWhileDraining admits a request to an engine that starts to drain meanwhile, and returns the result and its delay after that.
func admitWhileDraining(t *testing.T, e *engine, l *loader.Loader, w intent.Intent) (refusedAfter time.Duration, err error) {
	t.Helper()
	const drainDelay = 50 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	time.AfterFunc(drainDelay, func() { e.draining.Store(true) })
	begun := time.Now()
	err = l.Admit(ctx, w)
	return time.Since(begun) - drainDelay, err
}

// fillSlots uses up all request slots of the engine.
func fillSlots(t *testing.T, e *engine, l *loader.Loader) {
	t.Helper()
	for range e.slots {
		if err := l.Admit(t.Context(), heldPrompt()); err != nil {
			t.Fatalf("turn: %v", err)
		}
	}
}

// heldPrompt is a prompt for an adapter that the engine holds.
func heldPrompt() intent.Intent {
	return intent.Intent{
		EngineID: "e", Requester: "h", Model: "m", Adapter: adapterName(0), PromptCost: time.Millisecond, Loaded: true, StallBudget: time.Second, MaxLoadWait: 3 * time.Second,
	}
}

// An engine starts to drain while requests wait there for a load or a turn that will never come. If not refused at once, they
// wait until they time out although other engines have room.
func TestWaitingRequestsAreRefusedWhenTheEngineDrains(t *testing.T) {
	load := intent.Intent{EngineID: "e", Requester: "h", Model: "m", Adapter: adapterName(1), MaxLoadWait: 3 * time.Second}
	for name, tc := range map[string]struct {
		foreign bool // managed by another host
		full    bool // all request slots are taken
		want    intent.Intent
	}{
		"for a load":                            {want: load},
		"for a turn":                            {full: true, want: heldPrompt()},
		"for a turn at an engine without owner": {foreign: true, full: true, want: heldPrompt()},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newEngine(4)
				e.slots, e.ownedElsewhere = 2, tc.foreign
				l := startReady(t, e)
				if !tc.foreign {
					if err := admit(t, l, adapterName(0)); err != nil {
						t.Fatalf("load: %v", err)
					}
				}
				if tc.full {
					fillSlots(t, e, l)
				}
				after, err := admitWhileDraining(t, e, l, tc.want)
				if !errors.Is(err, intent.ErrDraining) || after > drainNotifyTimeout {
					t.Errorf("admit = %v, %v after the drain began, want %v within %v", err, after, intent.ErrDraining, drainNotifyTimeout)
				}
			})
		})
	}
}

// Hosts that do not know yet that an engine is draining still ask its owner for turns.
func TestDrainingEngineGrantsNoTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(4)
		l := startLoaded(t, e)
		e.draining.Store(true)
		begun := time.Now()
		err := l.Admit(t.Context(), heldPrompt())
		if got := time.Since(begun); !errors.Is(err, intent.ErrDraining) || got > time.Millisecond {
			t.Errorf("turn at a draining engine = %v after %v, want %v at once", err, got, intent.ErrDraining)
		}
	})
}
