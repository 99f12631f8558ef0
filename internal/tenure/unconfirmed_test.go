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

// startFailing starts a host and returns it after 20 s; from then on fail decides what becomes of each of its writes, and which error it gets.
func startFailing(t *testing.T, fail func(write func() error) error) *host {
	var failing atomic.Bool
	h := newSite(t, "e1").startHostWith("10.0.0.1", func(h *host) {
		write := h.Table.Write
		h.Table.Write = func(ctx context.Context, edits ...rows.Row) (int64, error) {
			if !failing.Load() {
				return write(ctx, edits...)
			}
			return 0, fail(func() error {
				_, err := write(ctx, edits...)
				return err
			})
		}
	})
	time.Sleep(20 * time.Second)
	failing.Store(true)
	return h
}

// The store refuses some renewals and then applies one whose answer is lost. The lease must count from the one that was applied: those that
// were refused had no effect, and counted from the first of them the lease would end seconds early.
func TestRefusedRenewalsTakeNothingOffTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const refused, kept = 3, 1
		var writes atomic.Int64
		h := startFailing(t, func(write func() error) error {
			if n := writes.Add(1); n <= refused || n > refused+kept {
				return table.ErrDown
			}
			if err := write(); err != nil {
				t.Errorf("write: got %v, want nil", err)
			}
			return table.ErrLost
		})
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
		var writes atomic.Int64
		h := startFailing(t, func(write func() error) error {
			if err := write(); err != nil {
				return err
			}
			writes.Add(1)
			return table.ErrLost
		})
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
