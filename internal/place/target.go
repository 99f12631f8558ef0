package place

import (
	"slices"
	"time"

	"damaskreach/internal/digest"
)

// target is the state of a runner, from its owner's latest digest and this node's own choices.
type target struct {
	digest           digest.Digest
	updatedAt        time.Time
	health           health
	recent           []*choice      // own choices not yet reflected in the digest
	inFlight         map[string]int // own choices in flight, by model
	suspectsInFlight int            // own suspected requests in flight
}

// requests returns the number of requests on the runner, including own ones that the digest does not reflect yet.
func (t *target) requests() int {
	return t.digest.Running + t.digest.Waiting + len(t.recent)
}

// batchSize returns how many requests fit into a batch.
func (t *target) batchSize() int {
	return max(1, t.digest.Batch)
}

// hasModel reports whether a model is resident; the empty model always is.
func (t *target) hasModel(model string) bool {
	return model == "" || slices.Contains(t.digest.Resident, model)
}

// isLoading reports whether a model is being loaded or a request that needs it is in flight.
func (t *target) isLoading(model string) bool {
	return t.inFlight[model] > 0 || slices.Contains(t.digest.Loading, model)
}

// hasRoom reports whether the runner would accept one more request for a model. While its batch has room, all queued
// requests wait for loads, and a request for a resident model overtakes them.
func (t *target) hasRoom(model string, queue int) bool {
	if t.hasModel(model) && t.digest.Running+len(t.recent) < t.batchSize() {
		return true
	}
	return t.digest.Waiting+len(t.recent) < max(1, queue)
}
