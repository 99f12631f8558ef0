package place

import (
	"time"

	"damaskreach/pkg/refuse"
)

const (
	sickAfter  = 3 // failures in a row
	firstProbe = time.Second
	mostProbe  = 15 * time.Second
)

// health tells a sick runner from a slow one: only failures make it sick, never the time an answer takes.
// A sick runner gets one request at a time, at growing intervals, until one succeeds.
type health struct {
	failures int // in a row
	wait     time.Duration
	next     time.Time // of the next probe
	probing  bool
}

// sick reports whether the runner is avoided.
func (h *health) sick() bool {
	return h.failures >= sickAfter
}

// due reports whether a probe may be sent. A call that may not be repeated is only risked on one
// where nothing else has probed the runner for long.
func (h *health) due(now time.Time, once bool) bool {
	next := h.next
	if once {
		next = next.Add(mostProbe)
	}
	return !h.probing && !now.Before(next)
}

// settle takes an outcome in.
func (h *health) settle(now time.Time, outcome *refuse.Refusal, probe bool) {
	if probe {
		h.probing = false
	}
	if outcome == nil {
		*h = health{}
		return
	}
	if !blames(outcome.Code) {
		return
	}
	h.failures++
	if h.sick() {
		h.wait = min(max(firstProbe, 2*h.wait), mostProbe)
		h.next = now.Add(h.wait)
	}
}

// blames reports whether an outcome speaks against the runner rather than against the request, its adapter or the load.
func blames(code string) bool {
	switch code {
	case refuse.Cut, refuse.Crashed, refuse.NoUpstream, refuse.Internal:
		return true
	}
	return false
}
