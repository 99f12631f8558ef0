package proxy_test

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"damaskreach/internal/intent"
	"damaskreach/internal/resp"
	"damaskreach/internal/spent"
)

// newTurnBench returns a bench of engines that hold the adapter, and the turns that were granted and not yet given back.
func newTurnBench(t *testing.T) (b *bench, open map[uint64]string) {
	b = newHolderBench(t, true)
	open = map[uint64]string{}
	admit := b.Admit
	b.Admit = func(ctx context.Context, w intent.Intent) error {
		err := admit(ctx, w)
		if err == nil {
			open[w.Turn] = w.EngineID
		}
		return err
	}
	b.EndTurn = func(s spent.Spent) {
		if open[s.Turn] == s.Engine {
			delete(open, s.Turn)
		}
	}
	return b, open
}

// A turn must end with the first event of its stream. Held until the stream's end, it would keep the engine from reading other prompts.
func TestTurnEndsWithTheFirstEvent(t *testing.T) {
	b, open := newTurnBench(t)
	openAtFirstEvent := -1
	read := false
	endTurn := b.EndTurn
	b.EndTurn = func(s spent.Spent) {
		endTurn(s)
		if openAtFirstEvent < 0 {
			openAtFirstEvent, read = len(open), s.Read
		}
	}
	b.setAnswers(answers(http.StatusOK, nil, firstEvent+lastEvent, nil))
	b.call(adapterRequest)
	if openAtFirstEvent != 0 || len(open) != 0 || !read {
		t.Errorf("turns open after the first event = %d, at the end = %d, reported as read = %v; want none, and reported",
			openAtFirstEvent, len(open), read)
	}
}

// Requests fail after they got their turns: the engine rejects them, breaks off, or begins to leave. A turn that is not given
// back delays other prompts.
func TestTurnOfAFailedRequestIsReturned(t *testing.T) {
	for name, first := range map[string]func(s sent) (resp.Resp, error){
		"rejected":   answers(http.StatusServiceUnavailable, http.Header{headNotRun: {"1"}}, "", nil),
		"broken off": answers(http.StatusOK, nil, "", errors.New("reset")),
	} {
		b, open := newTurnBench(t)
		b.setAnswers(first, answers(http.StatusOK, nil, firstEvent, nil))
		b.call(adapterRequest)
		if len(open) != 0 {
			t.Errorf("%s: turns left open = %v, want none", name, open)
		}
	}
	b, open := newTurnBench(t)
	view := b.View
	b.Admit = func(_ context.Context, w intent.Intent) error {
		open[w.Turn] = w.EngineID
		v := view()
		leaving := v.Targets[w.EngineID]
		leaving.Draining = true
		v.Targets[w.EngineID] = leaving
		return nil
	}
	b.call(adapterRequest)
	if len(open) != 0 {
		t.Errorf("leaving: turns left open = %v, want none", open)
	}
}

// The host that grants turns replies too late. The turn may have been granted, and nobody uses it.
func TestTurnGrantedTooLateIsReturned(t *testing.T) {
	b, _ := newTurnBench(t)
	returned := 0
	b.Admit = func(context.Context, intent.Intent) error { return context.DeadlineExceeded }
	b.EndTurn = func(spent.Spent) { returned++ }
	b.setAnswers(answers(http.StatusOK, nil, firstEvent, nil))
	b.call(adapterRequest)
	if returned == 0 {
		t.Error("no turn was given back, want the one asked for")
	}
}
