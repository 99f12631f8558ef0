package tenure_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/rows"
	"damaskreach/internal/target"
	"damaskreach/internal/turns"
)

// passing is what one host has read, as another one that lets it read knows it.
type passing struct {
	mu   sync.Mutex
	list []rows.Row
	rev  int64
}

func (p *passing) keep(_ string, _, rev int64, list []rows.Row) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list, p.rev = append(p.list, list...), max(p.rev, rev)
}

func (p *passing) tail(_ context.Context, _ string, after int64) ([]rows.Row, int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []rows.Row
	for _, row := range p.list {
		if row.Rev > after {
			list = append(list, row)
		}
	}
	return list, max(after, p.rev), nil
}

// A host was cut off until another one ended its session. It comes back, begins a new one, and reads the store for the others from then on.
// They must hear of its new session before they hear which engines it takes, or they take those for engines without a host, and two hosts give
// one engine orders.
func TestReaderThatComesBackTellsOfItsSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e0")
		var news passing
		relaxed, hears := false, time.Now()
		a := s.started("10.0.0.1", func(h *host) { h.Keep = news.keep })
		b := s.started("10.0.0.2", func(h *host) {
			own := h.Table.Tail
			h.Relaxed = func() bool { return relaxed }
			h.Engines = func() map[string]target.Target {
				if time.Now().Before(hears) {
					return map[string]target.Target{"e0": s.engines["e0"]}
				}
				return s.engines
			}
			h.Table.Tail = func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error) {
				if relaxed {
					return news.tail(ctx, prefix, after)
				}
				return own(ctx, prefix, after)
			}
		})
		time.Sleep(6 * time.Second)
		a.setCut(true)
		time.Sleep(25 * time.Second)
		if got, want := b.Owner("e0"), "10.0.0.2"; got != want {
			t.Fatalf("owner while the other host is cut off = %q, want %q", got, want)
		}
		a.setCut(false)
		relaxed = true
		time.Sleep(3 * time.Second)
		more := map[string]target.Target{}
		for i := range 12 {
			id := fmt.Sprint("e", i)
			more[id] = target.Target{ID: id, Centre: "dc"}
		}
		s.engines, hears = more, time.Now().Add(2*time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			for range turns.Every(ctx, 100*time.Millisecond) {
				b.Wake(a.Mark())
			}
		}()
		s.watch(10*time.Second, a, b)
		if len(a.Mine()) == 0 || len(b.Mine()) == 0 {
			t.Errorf("engines of the two hosts = %d and %d, want some each", len(a.Mine()), len(b.Mine()))
		}
	})
}
