package ticker

import (
	"context"
	"time"
)

// Retry calls try, with a pause of d after each call, until it returns true, ctx ends, or timeout, which may change meanwhile, has passed.
// It reports whether try succeeded.
func Retry(ctx context.Context, d time.Duration, timeout func() time.Duration, try func() bool) bool {
	for start := time.Now(); time.Since(start) < timeout(); {
		if try() {
			return true
		}
		if !Sleep(ctx, d) {
			return false
		}
	}
	return false
}
