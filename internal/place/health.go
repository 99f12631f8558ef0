package place

import (
	"time"

	"damaskreach/pkg/refuse"
)

const (
	unhealthyAfter   = 3 // consecutive failures
	minProbeInterval = time.Second
	maxProbeInterval = 15 * time.Second
)

// health is the failure state of a runner. Only failures make it unhealthy, never slow answers. An unhealthy runner gets
// one probe request at a time, at growing intervals, until one succeeds.
type health struct {
	failures      int // consecutive
	probeInterval time.Duration
	nextProbe     time.Time
	probing       bool
}

// unhealthy reports whether the runner has failed unhealthyAfter times in a row.
func (h *health) unhealthy() bool {
	return h.failures >= unhealthyAfter
}

// probeDue reports whether a probe may be sent. A call that may not be repeated serves as a probe only if the last one is
// overdue by maxProbeInterval.
func (h *health) probeDue(now time.Time, once bool) bool {
	next := h.nextProbe
	if once {
		next = next.Add(maxProbeInterval)
	}
	return !h.probing && !now.Before(next)
}

// recordOutcome updates the state from the outcome of a request; nil means success.
func (h *health) recordOutcome(now time.Time, outcome *refuse.Refusal, probe bool) {
	if probe {
		h.probing = false
	}
	if outcome == nil {
		*h = health{}
		return
	}
	if !isRunnerFault(outcome.Code) {
		return
	}
	h.failures++
	if h.unhealthy() {
		h.probeInterval = min(max(minProbeInterval, 2*h.probeInterval), maxProbeInterval)
		h.nextProbe = now.Add(h.probeInterval)
	}
}

// isRunnerFault reports whether a refusal code is due to the runner, not to the request, its adapter or the load.
func isRunnerFault(code string) bool {
	switch code {
	case refuse.Cut, refuse.Crashed, refuse.NoUpstream, refuse.Internal:
		return true
	}
	return false
}
