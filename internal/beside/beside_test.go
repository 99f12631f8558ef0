package beside_test

import (
	"testing"
	"time"

	"damaskreach/internal/beside"
)

// Hosts that wait for the same load to end must neither all begin as it does nor wait where there is room for all of them.
func TestHostsBeginAsFarAsThereIsRoom(t *testing.T) {
	const step = 250 * time.Millisecond
	for _, c := range []struct {
		before, room int
		want         time.Duration
	}{{0, 1, 0}, {1, 1, step}, {2, 1, 2 * step}, {2, 3, 0}, {3, 3, step}, {300, 1, 2 * time.Second}, {300, 64, 2 * time.Second}} {
		if got := (beside.Beside{Before: c.before, Step: step}).First(c.room); got != c.want {
			t.Errorf("%d hosts before, room for %d: %v, want %v", c.before, c.room, got, c.want)
		}
	}
}
