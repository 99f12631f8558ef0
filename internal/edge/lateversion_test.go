//go:build !race

package edge_test

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"damaskreach/internal/change"
	"damaskreach/internal/edge"
	"damaskreach/internal/effect"
	"damaskreach/internal/rows"
	"damaskreach/internal/setup"
)

// versionOrders collects the versions that engines are ordered to load.
type versionOrders struct {
	mu   sync.Mutex
	seen map[int]int
}

func (v *versionOrders) add(c change.Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c.Load && c.Adapter != "" {
		v.seen[c.Version]++
	}
}

// take returns how often each version was ordered, and begins anew.
func (v *versionOrders) take() map[int]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	seen := v.seen
	v.seen = map[int]int{}
	return seen
}

// The store carries out an operator's lost write late, so that an adapter's row names an older version again, and then all hosts are killed. Those that start must
// order the newer version, which was in force, or requests run on the older one for the rest of the day.
func TestVersionOfALateWriteIsNotOrderedAfterAllHostsAreKilled(t *testing.T) {
	withSeeds(t, func(t *testing.T, seed uint64) {
		orders := &versionOrders{seen: map[int]int{}}
		f := newEmptyFarm()
		f.start(t, 3, 4, unlimitedTeams, func(e *edge.Edge, s *setup.Setup) {
			f.adaptHost(e, s)
			e.DecodeVersion = func(row rows.Row) (string, int, bool, error) {
				adapter, ok := strings.CutPrefix(row.Key, "op/version-")
				version, _ := strconv.Atoi(string(row.Value))
				return "m/" + adapter, version, ok, nil
			}
			e.SendOrder = func(ctx context.Context, c change.Change) (effect.Effect, error) {
				orders.add(c)
				return f.applyOrder(ctx, c)
			}
		})
		ask := func() {
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
			defer cancel()
			f.generateDemand(ctx, seed, "red", 5, 1)
			time.Sleep(8 * time.Second)
		}
		f.store.put("op/version-a0", "4")
		time.Sleep(3 * time.Second)
		ask()
		if got := orders.take(); got[4] == 0 || len(got) != 1 {
			t.Fatalf("orders by version = %v, want version 4 alone", got)
		}
		f.store.put("op/version-a0", "3")
		time.Sleep(4 * time.Second)
		f.restartHosts(0, 1, 2)
		time.Sleep(20 * time.Second)
		orders.take()
		ask()
		if got := orders.take(); got[4] == 0 || len(got) != 1 {
			t.Errorf("orders by version after the start = %v, want version 4 alone", got)
		}
	})
}
