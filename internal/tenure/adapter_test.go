package tenure_test

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"damaskreach/internal/rows"
	"damaskreach/internal/table"
)

// lateDelay is how long after its caller gave up a write reaches the store.
const lateDelay = 2500 * time.Millisecond

// storeAdapter returns the store as the platform's adapter shows it: revisions on the wire are bare numbers, and the adapter learns of a
// new era with the answer. A write that expects a number of the era before takes effect where that number was issued again.
func (s *site) storeAdapter(h *host, ip string) table.Table {
	t := s.db.TableFor(ip)
	var era atomic.Int64 // newest era that this adapter has seen
	learn := func(err error) {
		if !errors.Is(err, table.ErrDown) && !errors.Is(err, table.ErrLost) {
			now, _ := rows.Era(s.db.Rev())
			era.Store(now)
		}
	}
	bare := func(edits []rows.Row, known int64) []rows.Row {
		now, _ := rows.Era(s.db.Rev())
		var sent []rows.Row
		for _, e := range edits {
			of, number := rows.Era(e.Rev)
			if e.Rev != 0 && e.Rev != rows.AnyRev && of == known {
				e.Rev = rows.NewRev(now, number)
			}
			sent = append(sent, e)
		}
		return sent
	}
	write, read, list, first, tail := t.Write, t.Read, t.List, t.First, t.Tail
	t.Write = func(ctx context.Context, edits ...rows.Row) (int64, error) {
		known := era.Load()
		if h.isLate() {
			time.AfterFunc(lateDelay, func() { write(context.Background(), bare(edits, known)...) })
			<-ctx.Done()
			return 0, table.ErrLost
		}
		rev, err := write(ctx, bare(edits, known)...)
		learn(err)
		return rev, err
	}
	t.Read = func(ctx context.Context, key string) (rows.Row, error) {
		row, err := read(ctx, key)
		learn(err)
		return row, err
	}
	t.List = func(ctx context.Context, prefix string) ([]rows.Row, int64, error) {
		found, rev, err := list(ctx, prefix)
		learn(err)
		return found, rev, err
	}
	t.First = func(ctx context.Context, prefix string, limit int) ([]rows.Row, int64, bool, error) {
		found, rev, more, err := first(ctx, prefix, limit)
		learn(err)
		return found, rev, more, err
	}
	t.Tail = func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error) {
		found, rev, err := tail(ctx, prefix, after)
		learn(err)
		return found, rev, err
	}
	return t
}

func (h *host) isLate() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.late
}

func (h *host) setLate(late bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.late = late
}
