package intent_test

import (
	"errors"
	"testing"
	"time"

	"damaskreach/internal/intent"
)

// Errors must survive encoding between hosts: the wait of a full prompt queue decides where the request goes next.
func TestErrorsSurviveEncoding(t *testing.T) {
	for _, err := range []error{
		nil, intent.ErrNotOwner, intent.ErrLoadQueueFull, intent.ErrLoadFailed, intent.ErrDraining,
		intent.NewPromptQueueFull(350 * time.Millisecond),
	} {
		got := intent.DecodeError(intent.EncodeError(err))
		if intent.Code(got) != intent.Code(err) || intent.WaitOf(got) != intent.WaitOf(err) {
			t.Errorf("%v came out as %v with %v", err, got, intent.WaitOf(got))
		}
	}
	if got := intent.DecodeError("crowded soon"); !errors.Is(got, intent.ErrPromptQueueFull) {
		t.Errorf("a wait that cannot be read makes %v, want %v", got, intent.ErrPromptQueueFull)
	}
}
