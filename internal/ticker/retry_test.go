package ticker_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/ticker"
)

func TestRetryEndsOnSuccessTimeoutOrContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		third := func() bool { calls++; return calls == 3 }
		second := func() time.Duration { return time.Second }
		if got := ticker.Retry(t.Context(), 100*time.Millisecond, second, third); !got || calls != 3 {
			t.Errorf("Retry() = %v after %d calls, want true after 3", got, calls)
		}
		calls = 10
		if got := ticker.Retry(t.Context(), 300*time.Millisecond, second, third); got || calls != 14 {
			t.Errorf("Retry() = %v after %d calls, want false after 4 in a second", got, calls-10)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		calls = 10
		if got := ticker.Retry(ctx, 100*time.Millisecond, second, third); got || calls != 11 {
			t.Errorf("Retry() = %v after %d calls, want false after one: the context has ended", got, calls-10)
		}
	})
}
