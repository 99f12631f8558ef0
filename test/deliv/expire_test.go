//go:build !race

package deliv_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"damaskreach/internal/node"
	"damaskreach/internal/rows"
	"damaskreach/internal/table"
	"damaskreach/internal/trial"
)

// Callers use a new key for each booking. Claims must be deleted when they expire, or the table grows with every request. Until
// then each key must be answered with its first outcome, even if the node that kept it is gone.
func TestClaimsExpire(t *testing.T) {
	set := func(f *trial.Trial) { f.Site.Conf.ClaimLife = time.Hour }
	runSet(t, 4, 0, 1, set, func(t *testing.T, f *trial.Trial) {
		for i := range 50 {
			f.Book(t.Context(), i%4, fmt.Sprintf("key-%d", i), fmt.Sprintf(`{"slot":%d}`, i))
		}
		pass(time.Second) // for the last outcome to be written; TestNodeDiesHoldingAClaim kills its node before
		f.Kill((f.Owner("booking-0") + 1) % 4)
		alive := f.Owner("booking-0")
		pass(50 * time.Minute)
		for i := range 50 {
			s := f.Book(t.Context(), alive, fmt.Sprintf("key-%d", i), fmt.Sprintf(`{"slot":%d}`, i))
			if !s.Whole || !s.Replay {
				t.Errorf("within its life key %d got %+v, want the first answer", i, s)
			}
		}
		if got := len(f.Records()); got != 50 {
			t.Errorf("%d executions, want 50", got)
		}
		pass(30 * time.Minute)
		left, _, err := f.Site.DB.Table().List(t.Context(), table.PrefixClaim)
		if err != nil || len(left) != 0 {
			t.Errorf("%d claims after their life, error %v, want none", len(left), err)
		}
	})
}

// counted counts the writes of claims of a node.
func counted(writes *atomic.Int64) func(n *node.Node) {
	return func(n *node.Node) {
		write := n.Table.Write
		n.Table.Write = func(ctx context.Context, edits ...rows.Row) (int64, error) {
			if strings.HasPrefix(edits[0].Key, table.PrefixClaim) {
				writes.Add(1)
			}
			return write(ctx, edits...)
		}
	}
}

// The table service accepts several hundred writes a second. Claims must be batched, so that a booking costs fewer transactions
// when there are more of them.
func TestCostOfClaims(t *testing.T) {
	for _, load := range []struct {
		rate int
		most float64 // transactions of a booking
	}{{10, 2}, {100, 1.5}, {1000, 0.35}, {4000, 0.1}} {
		t.Run(fmt.Sprint(load.rate), func(t *testing.T) {
			var writes atomic.Int64
			set := func(f *trial.Trial) { f.Site.Prepare = counted(&writes) }
			runSet(t, 6, 0, 3, set, func(t *testing.T, f *trial.Trial) {
				var all sync.WaitGroup
				for i := range load.rate {
					all.Go(func() {
						pass(time.Duration(i) * time.Second / time.Duration(load.rate))
						again(t, f, i%6, fmt.Sprintf("key-%d", i), fmt.Sprintf(`{"slot":%d}`, i))
					})
				}
				all.Wait()
				pass(100 * time.Millisecond)
				_, written, _ := f.Site.DB.Count("claim")
				cost := float64(writes.Load()) / float64(load.rate)
				t.Logf("%d bookings a second: %.3f transactions and %.2f rows each", load.rate, cost, float64(written)/float64(load.rate))
				if cost > load.most {
					t.Errorf("%.3f transactions of a booking, want at most %.2f", cost, load.most)
				}
			})
		})
	}
}
