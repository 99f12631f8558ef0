package reach

import (
	"context"
	"errors"
	"syscall"
)

// Refuses reports whether nothing listens at an upstream's address, as after a crash. It dials the upstream, once for requests that ask at the
// same time.
func (r *Reach) Refuses(addr string) bool {
	refused, _, _ := r.refusals.Do(addr, func() (any, error) {
		c, err := r.dial(context.Background(), addr, probeTimeout)
		if err == nil {
			c.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED), nil
	})
	return refused.(bool)
}
