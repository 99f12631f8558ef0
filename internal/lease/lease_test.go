package lease_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/lease"
	"damaskreach/internal/sess"
	"damaskreach/internal/stand/rowdb"
)

const (
	term     = 15 * time.Second
	interval = 5 * time.Second // between renewals
)

// begin returns a lease that has been renewed once and is renewed until the test ends.
func begin(t *testing.T, db *rowdb.DB) *lease.Lease {
	t.Helper()
	l := lease.NewLease(db.Table(), sess.Session{Node: "n", Site: "s"}, term, interval, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go l.Run(ctx)
	synctest.Wait()
	return l
}

// The table service is slow, so that a renewal hangs, and then answers again. A holder that waited for the renewal it has
// sent would lose its lease meanwhile, and its callers would be refused.
func TestRenewDoesNotWaitForAHungRenewal(t *testing.T) {
	for _, c := range []struct {
		name string
		slow time.Duration
		back time.Duration // when the service answers again
	}{
		{"the renewal has not taken effect", 20 * time.Second, 12 * time.Second},
		{"the renewal has taken effect and its answer is under way", 12 * time.Second, 12 * time.Second},
		{"the renewal has taken effect and was given up", 12 * time.Second, 15500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				db := rowdb.NewDB()
				l := begin(t, db)
				db.SetSlow(c.slow)
				time.Sleep(c.back)
				db.SetSlow(0)
				l.Renew(t.Context())
				if got := l.Left(); got != term {
					t.Errorf("Left = %s, want %s", got, term)
				}
			})
		})
	}
}

// A hung renewal is answered after a later one. Taken for the newest, its revision would have the next renewal meet a conflict.
func TestLateAnswerOfARenewalChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		db := rowdb.NewDB()
		l := begin(t, db)
		db.SetSlow(8 * time.Second)
		time.Sleep(interval + 5*time.Second) // the renewal has taken effect and is not answered
		db.SetSlow(0)
		l.Renew(t.Context())
		_, before, _ := db.Count("")
		time.Sleep(interval) // the renewal is answered and two others follow, of the turn that it held up and of the next turn
		synctest.Wait()
		_, after, _ := db.Count("")
		if got := after - before; got != 2 {
			t.Errorf("got %d writes for two renewals, want 2", got)
		}
		if got := l.Left(); got != term {
			t.Errorf("Left = %s, want %s", got, term)
		}
	})
}

// A session that has no row yet, or that has said that it has ended, must not be brought to life: others would send it requests.
func TestRenewLeavesSessionsThatDoNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		db := rowdb.NewDB()
		l := lease.NewLease(db.Table(), sess.Session{Node: "n", Site: "s"}, term, interval, zap.NewNop())
		l.Renew(t.Context())
		if _, got, _ := db.Count(""); got != 0 {
			t.Errorf("got %d writes before the session began, want 0", got)
		}
		l = begin(t, db)
		if err := l.Release(t.Context()); err != nil {
			t.Fatalf("Release = %v, want nil", err)
		}
		l.Renew(t.Context())
		if l.Valid() {
			t.Error("the lease is valid after its release, want it ended")
		}
	})
}
