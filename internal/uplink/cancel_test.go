package uplink_test

import (
	"context"
	"errors"
	"testing"

	"damaskreach/internal/demand"
)

// hookedContext is a context that calls afterErr behind each call of Err.
type hookedContext struct {
	context.Context
	afterErr func()
}

// Err implements context.Context.
func (c hookedContext) Err() error {
	defer c.afterErr()
	return c.Context.Err()
}

// An upstream closes a reused connection just before the caller cancels the request. The error must name the break: reported as a cancellation, it
// would not count against the upstream.
func TestBreakJustBeforeCancellationIsReported(t *testing.T) {
	s := newServer(t, answer("1", "one"), "")
	u := newUplink()
	if _, err := ask(t, u, s, "1"); err != nil {
		t.Fatalf("first answer: %v, want none", err)
	}
	ctx, leave := context.WithCancel(t.Context())
	asked := false
	caller := hookedContext{ctx, func() {
		if asked {
			leave()
		}
	}}
	_, err := u.Do(caller, s.l.Addr().String(), demand.Demand{ID: "2", Method: "GET", Host: "a", URI: "/x"}, nil, func() bool {
		asked = true
		return true
	})
	if err == nil || errors.Is(err, context.Canceled) {
		t.Errorf("Do() = %v, want an error of the connection", err)
	}
}
