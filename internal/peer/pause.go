package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"damaskreach/internal/bounds"
)

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// temporary reports whether a listener may work again later.
func temporary(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return false
	}
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

// backoff returns the pause after so many failures in a row: doubled each time, and of random length, or all nodes
// that lost a peer would come back to it at the same instant and overload it again.
func backoff(b bounds.Bounds, failures int) time.Duration {
	pause := b.Least
	for i := 1; i < failures && pause < b.Most; i++ {
		pause *= 2
	}
	pause = min(pause, b.Most)
	return pause/2 + rand.N(pause/2+1)
}
