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

// way is how long a write takes to the store.
const way = 10 * time.Millisecond

// counted has a host's writes take their way to the store, and counts those of rows under a prefix that it refuses.
func counted(prefix string, refused *atomic.Int64) func(h *host) {
	return func(h *host) {
		write := h.Table.Write
		h.Table.Write = func(ctx context.Context, edits ...rows.Row) (int64, error) {
			time.Sleep(way)
			rev, err := write(ctx, edits...)
			if errors.Is(err, table.ErrConflict) && strings.HasPrefix(edits[0].Key, prefix) {
				refused.Add(1)
			}
			return rev, err
		}
	}
}

// An engine hashes to a host that has its share already. Every other host would claim the engine at the same moment, and the store would refuse all but
// one: on a site of hundreds of engines, whole batches of claims fail for one engine that another host was faster to take.
func TestEngineOfAFullHostIsClaimedByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
		var hosts []*host
		var refused atomic.Int64
		for i := range 60 {
			hosts = append(hosts, s.started(fmt.Sprintf("10.0.0.%d", i), counted(tenure.Prefix+"own:", &refused)))
		}
		time.Sleep(5 * time.Second)
		if got, want := refused.Load(), int64(0); got != want {
			t.Errorf("claims that the store refused = %d, want %d", got, want)
		}
		for id := range s.engines {
			if s.giver(hosts, id) == "" {
				t.Errorf("engine %s has no host", id)
			}
		}
	})
}

// All hosts start at an empty store, as a new site does. Each finds no secret and would make one at the same moment; the store would refuse all but one,
// hundreds of writes on a large site.
func TestHostsThatStartTogetherMakeOneSecret(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "a")
		var hosts []*host
		var refused atomic.Int64
		for i := range 60 {
			hosts = append(hosts, s.started(fmt.Sprintf("10.0.0.%d", i), counted(tenure.Prefix+"secret", &refused)))
		}
		time.Sleep(800 * time.Millisecond)
		if got, want := refused.Load(), int64(len(hosts)/10); got > want {
			t.Errorf("secrets that the store refused = %d, want at most %d", got, want)
		}
		for _, h := range hosts {
			if got, want := h.Secret(), hosts[0].Secret(); got == nil || !slices.Equal(got, want) {
				t.Fatalf("secret of %s = %x, want %x", h.IP, got, want)
			}
		}
	})
}
