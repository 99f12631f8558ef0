package uplink_test

import (
	"context"
	"errors"
	"testing"

	"damaskreach/internal/demand"
)

// lookedAt is a context that calls behind once it was looked at how it ended.
type lookedAt struct {
	context.Context
	behind func()
}

// Err looks at how the context ended.
func (c lookedAt) Err() error {
	defer c.behind()
	return c.Context.Err()
}

// An upstream closes a kept connection under a request whose caller leaves a moment later: told as the caller's doing, the close would be missed by
// whoever looks for it.
func TestBreakJustBeforeTheCallerLeavesIsTheUpstreams(t *testing.T) {
	s := newServer(t, answer("1", "one"), "")
	u := newUplink()
	if _, err := ask(t, u, s, "1"); err != nil {
		t.Fatalf("first answer: %v, want none", err)
	}
	ctx, leave := context.WithCancel(t.Context())
	asked := false
	caller := lookedAt{ctx, func() {
		if asked {
			leave()
		}
	}}
	_, err := u.Do(caller, s.l.Addr().String(), demand.Demand{ID: "2", Method: "GET", Host: "a", URI: "/x"}, nil, func() bool {
		asked = true
		return true
	})
	if err == nil || errors.Is(err, context.Canceled) {
		t.Errorf("Do() = %v, want the upstream's fault", err)
	}
}
