package tenure_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/rows"
	"damaskreach/internal/table"
	"damaskreach/internal/tenure"
)

// writeDelay is how long a write takes to reach the store.
const writeDelay = 10 * time.Millisecond

// countConflicts delays a host's writes by writeDelay, and counts conflicts of writes under a prefix.
func countConflicts(prefix string, refused *atomic.Int64) func(h *host) {
	return func(h *host) {
		write := h.Table.Write
		h.Table.Write = func(ctx context.Context, edits ...rows.Row) (int64, error) {
			time.Sleep(writeDelay)
			rev, err := write(ctx, edits...)
			if errors.Is(err, table.ErrConflict) && strings.HasPrefix(edits[0].Key, prefix) {
				refused.Add(1)
			}
			return rev, err
		}
	}
}

// An engine hashes to a host that has its share already. If all others claimed it at once, the store would reject all but one, and on a
// large site whole batches of claims would fail for one engine.
func TestEngineOfFullHostIsClaimedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
		var hosts []*host
		var refused atomic.Int64
		for i := range 60 {
			hosts = append(hosts, s.startHostWith(fmt.Sprintf("10.0.0.%d", i), countConflicts(tenure.Prefix+"own:", &refused)))
		}
		time.Sleep(5 * time.Second)
		if got, want := refused.Load(), int64(0); got != want {
			t.Errorf("claims that the store rejected = %d, want %d", got, want)
		}
		for id := range s.engines {
			if s.orderingHost(hosts, id) == "" {
				t.Errorf("engine %s has no owner", id)
			}
		}
	})
}

// All hosts start at an empty store. If each created a secret at once, the store would reject all but one: hundreds of writes on a large
// site.
func TestSimultaneousStartCreatesOneSecret(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "a")
		var hosts []*host
		var refused atomic.Int64
		for i := range 60 {
			hosts = append(hosts, s.startHostWith(fmt.Sprintf("10.0.0.%d", i), countConflicts(tenure.Prefix+"secret", &refused)))
		}
		time.Sleep(800 * time.Millisecond)
		if got, want := refused.Load(), int64(len(hosts)/10); got > want {
			t.Errorf("secrets that the store rejected = %d, want at most %d", got, want)
		}
		for _, h := range hosts {
			if got, want := h.Secret(), hosts[0].Secret(); got == nil || !slices.Equal(got, want) {
				t.Fatalf("secret of %s = %x, want %x", h.IP, got, want)
			}
		}
	})
}
