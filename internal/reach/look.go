package reach

import (
	"context"
	"errors"
	"syscall"

	"damaskreach/internal/sight"
)

// Look dials an upstream, once for those that ask at the same time, and returns what that shows.
func (r *Reach) Look(addr string) sight.Sight {
	seen, _, _ := r.looks.Do(addr, func() (any, error) {
		c, err := r.dial(context.Background(), addr, probeTimeout)
		switch {
		case err == nil:
			return sight.Listens, c.Close()
		case errors.Is(err, syscall.ECONNREFUSED):
			return sight.Gone, nil
		}
		return sight.Unknown, nil
	})
	return seen.(sight.Sight)
}
