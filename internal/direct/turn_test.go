package direct_test

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"damaskreach/internal/intent"
	"damaskreach/internal/resp"
	"damaskreach/internal/spent"
)

// turnBench is a bench of engines that hold the adapter, with a record of the turns granted and given back.
func turnBench(t *testing.T) (b *bench, open map[uint64]string) {
	b = silentBench(t, true)
	open = map[uint64]string{}
	granted := b.Admit
	b.Admit = func(ctx context.Context, w intent.Intent) error {
		err := granted(ctx, w)
		if err == nil {
			open[w.Turn] = w.EngineID
		}
		return err
	}
	b.Spent = func(s spent.Spent) {
		if open[s.Turn] == s.Engine {
			delete(open, s.Turn)
		}
	}
	return b, open
}

// The first event of a stream comes. Told only at its end, the engine would get no other prompt for as long as the answer takes.
func TestTurnEndsWithTheFirstEvent(t *testing.T) {
	b, open := turnBench(t)
	seen := -1
	read := false
	end := b.Spent
	b.Spent = func(s spent.Spent) {
		end(s)
		if seen < 0 {
			seen, read = len(open), s.Read
		}
	}
	b.then(answers(http.StatusOK, nil, firstEvent+lastEvent, nil))
	b.call(held)
	if seen != 0 || len(open) != 0 || !read {
		t.Errorf("turns open after the first event = %d, at the end = %d, told as read = %v; want none, and told", seen, len(open), read)
	}
}

// Requests fail after they got their turn: the engine rejects them, breaks off, or begins to leave. A turn that is not given back holds up the
// prompts of others.
func TestTurnOfAFailedRequestIsGivenBack(t *testing.T) {
	for name, first := range map[string]func(s sent) (resp.Resp, error){
		"rejected":   answers(http.StatusServiceUnavailable, http.Header{headNot: {"1"}}, "", nil),
		"broken off": answers(http.StatusOK, nil, "", errors.New("reset")),
	} {
		b, open := turnBench(t)
		b.then(first, answers(http.StatusOK, nil, firstEvent, nil))
		b.call(held)
		if len(open) != 0 {
			t.Errorf("%s: turns left open = %v, want none", name, open)
		}
	}
	b, open := turnBench(t)
	left := b.View
	b.Admit = func(_ context.Context, w intent.Intent) error {
		open[w.Turn] = w.EngineID
		v := left()
		leaves := v.Targets[w.EngineID]
		leaves.Draining = true
		v.Targets[w.EngineID] = leaves
		return nil
	}
	b.call(held)
	if len(open) != 0 {
		t.Errorf("leaving: turns left open = %v, want none", open)
	}
}

// The host that grants turns answers too late. The turn may have been granted; nobody uses it.
func TestTurnThatCameTooLateIsGivenBack(t *testing.T) {
	b, _ := turnBench(t)
	given := 0
	b.Admit = func(context.Context, intent.Intent) error { return context.DeadlineExceeded }
	b.Spent = func(spent.Spent) { given++ }
	b.then(answers(http.StatusOK, nil, firstEvent, nil))
	b.call(held)
	if given == 0 {
		t.Error("no turn was given back, want the one asked for")
	}
}
