package tenure_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/rows"
	"damaskreach/internal/ticker"
)

// relayedRows is what one host has read, as another host that does not read the store receives it.
type relayedRows struct {
	mu   sync.Mutex
	list []rows.Row
	rev  int64
}

func (p *relayedRows) add(_ string, _, rev int64, list []rows.Row) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list, p.rev = append(p.list, list...), max(p.rev, rev)
}

func (p *relayedRows) tail(_ context.Context, _ string, after int64) ([]rows.Row, int64, error) {
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

// A host was cut off until another one ended its session; it begins a new one and reads the store for the others. If they learn of its
// claims before its session, they take its engines for unowned, and two hosts order one engine.
func TestReaderPublishesNewSessionBeforeClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e0")
		engines12 := engineIDs(12)
		var news relayedRows
		var relaxed, many, hears atomic.Bool // b does not read the store; there are more engines; b knows of them
		of := func(more func() bool) func() map[string]string {
			few, all := newSite(t, "e0").engines, newSite(t, engines12...).engines
			return func() map[string]string {
				if more() {
					return all
				}
				return few
			}
		}
		a := s.startHostWith("10.0.0.1", func(h *host) { h.Publish, h.Engines = news.add, of(many.Load) })
		b := s.startHostWith("10.0.0.2", func(h *host) {
			own := h.Table.Tail
			h.ReadDelegated, h.Engines = relaxed.Load, of(hears.Load)
			h.Table.Tail = func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error) {
				if relaxed.Load() {
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
		relaxed.Store(true)
		time.Sleep(3 * time.Second)
		s.engines = newSite(t, engines12...).engines
		many.Store(true)
		a.ClaimSoon() // the registrations of engines cause this
		time.AfterFunc(2*time.Second, func() { hears.Store(true) })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			for range ticker.Every(ctx, 100*time.Millisecond) {
				b.NotifyNewer(a.NewestRev())
			}
		}()
		s.watch(10*time.Second, a, b)
		if len(a.OwnedEngines()) == 0 || len(b.OwnedEngines()) == 0 {
			t.Errorf("engines of the two hosts = %d and %d, want some each", len(a.OwnedEngines()), len(b.OwnedEngines()))
		}
	})
}
