package tenure_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/rows"
	"damaskreach/internal/table"
	"damaskreach/internal/tenure"
)

// The store refuses some renewals and then applies one whose answer is lost. The lease must count from the one that was applied: those that
// were refused had no effect, and counted from the first of them the lease would end seconds early.
func TestRefusedRenewalsTakeNothingOffTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const refused, kept = 3, 1
		s := newSite(t, "e1")
		var failing atomic.Bool
		var writes atomic.Int64
		h := s.startHostWith("10.0.0.1", func(h *host) {
			write := h.Table.Write
			h.Table.Write = func(ctx context.Context, edits ...rows.Row) (int64, error) {
				if !failing.Load() {
					return write(ctx, edits...)
				}
				if n := writes.Add(1); n <= refused || n > refused+kept {
					return 0, table.ErrDown
				}
				if _, err := write(ctx, edits...); err != nil {
					t.Errorf("write: got %v, want nil", err)
				}
				return 0, table.ErrLost
			}
		})
		time.Sleep(20 * time.Second)
		failing.Store(true)
		for writes.Load() < refused+kept {
			time.Sleep(time.Millisecond)
		}
		applied := time.Now()
		time.Sleep(100 * time.Millisecond) // lets the host read its row
		if got, want := h.LeaseLeft(), tenure.Lease-time.Since(applied)-10*time.Millisecond; got < want {
			t.Errorf("got %v of the lease left, want %v at least", got, want)
		}
		h.cancel()
	})
}

// The store applies renewals and their answers are lost. A host that reads in its row that they were applied must not send each of them again at once:
// where the store is slow, all hosts would do so, and the one that comes last would lose its lease.
func TestRenewalsWhoseAnswersAreLostAreNotRepeatedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lasts, soonest = 40 * time.Second, 2250 * time.Millisecond // the renewal interval, less what delays vary by
		s := newSite(t, "e1")
		var failing atomic.Bool
		var writes atomic.Int64
		h := s.startHostWith("10.0.0.1", func(h *host) {
			write := h.Table.Write
			h.Table.Write = func(ctx context.Context, edits ...rows.Row) (int64, error) {
				rev, err := write(ctx, edits...)
				if !failing.Load() || err != nil {
					return rev, err
				}
				writes.Add(1)
				return 0, table.ErrLost
			}
		})
		time.Sleep(20 * time.Second)
		failing.Store(true)
		least := tenure.Lease
		for range lasts / (100 * time.Millisecond) {
			time.Sleep(100 * time.Millisecond)
			least = min(least, h.LeaseLeft())
		}
		if got, want := writes.Load(), int64(lasts/soonest)+1; got > want {
			t.Errorf("got %d renewals in %v, want %d at most", got, lasts, want)
		}
		if want := tenure.Lease / 2; least < want {
			t.Errorf("got %v of the lease left at the least, want %v", least, want)
		}
		h.cancel()
	})
}
