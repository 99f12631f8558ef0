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
