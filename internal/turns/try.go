package turns

import (
	"context"
	"time"
)

// Try calls try, with a pause of d after each call, until it reports true, or patience, which may change meanwhile, or ctx ends. It reports whether try did.
func Try(ctx context.Context, d time.Duration, patience func() time.Duration, try func() bool) bool {
	for begun := time.Now(); time.Since(begun) < patience(); {
		if try() {
			return true
		}
		if !Sleep(ctx, d) {
			return false
		}
	}
	return false
}
