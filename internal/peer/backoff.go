package peer

import (
	"math/rand/v2"
	"time"

	"damaskreach/internal/bounds"
)

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
