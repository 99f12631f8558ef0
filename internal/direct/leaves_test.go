package direct_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/want"
)

// Two engines begin to leave while an adapter is loaded there, and the request is refused though a third one would load it.
func TestEnginesThatLeaveCountAsNoFailedLoad(t *testing.T) {
	for what, leave := range map[string]func(b *bench, id string) error{
		"as their hosts say": func(*bench, string) error { return want.FromText(want.Text(merry.Wrap(want.ErrLeaves))) },
		"as they register, and their loads fail": func(b *bench, id string) error {
			b.drain(id)
			return want.ErrFailed
		},
		"as they register, and their loads are done": func(b *bench, id string) error {
			b.drain(id)
			return nil
		},
	} {
		t.Run(what, func(t *testing.T) {
			b := newBench(t, streamRoute())
			b.add("three", nil)
			loads := 0
			b.Admit = func(_ context.Context, w want.Want) error {
				if loads++; loads <= 2 {
					return leave(b, w.ID)
				}
				return nil
			}
			b.then(answers(http.StatusOK, nil, "id: 1\ndata: x\n\n", nil))
			if rec, _ := b.call(http.Header{"M": {"m"}, "A": {"m/a"}}); rec.Code != http.StatusOK || loads != 3 {
				t.Errorf("status = %d after %d loads, want %d after 3", rec.Code, loads, http.StatusOK)
			}
		})
	}
}

// Loads fail at two engines that stay, and the request goes on to a third and a fourth in turn, while its caller waits for what will not come.
func TestTwoFailedLoadsAreEnough(t *testing.T) {
	b := newBench(t, streamRoute())
	b.add("three", nil)
	b.add("four", nil)
	loads := 0
	b.Admit = func(context.Context, want.Want) error {
		loads++
		return want.ErrFailed
	}
	if rec, _ := b.call(http.Header{"M": {"m"}, "A": {"m/a"}}); rec.Code != http.StatusServiceUnavailable || loads != 2 {
		t.Errorf("status = %d after %d loads, want %d after 2", rec.Code, loads, http.StatusServiceUnavailable)
	}
}

// drain has an upstream register that it leaves.
func (b *bench) drain(id string) {
	t := b.view.Targets[id]
	t.Draining = true
	b.view.Targets[id] = t
}

// The only engine leaves, which its registration does not say yet, and its host is asked again for as long as requests wait for an engine.
func TestEngineThatLeavesIsAskedOnceForALoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, streamRoute())
		delete(b.view.Targets, "two")
		loads, begun := 0, time.Now()
		b.Admit = func(context.Context, want.Want) error {
			loads++
			return want.ErrLeaves
		}
		rec, _ := b.call(http.Header{"M": {"m"}, "A": {"m/a"}})
		if got := time.Since(begun); rec.Code != http.StatusServiceUnavailable || loads != 1 || got > 100*time.Millisecond {
			t.Errorf("status = %d after %d loads and %v, want %d after one and at most 100 ms", rec.Code, loads, got, http.StatusServiceUnavailable)
		}
	})
}
