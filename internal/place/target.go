package place

import (
	"slices"
	"time"

	"damaskreach/internal/digest"
)

// target is a runner as its owner's latest digest and this node's own choices show it.
type target struct {
	digest  digest.Digest
	learned time.Time
	health  health
	recent  []*choice      // own choices that the digest does not reflect yet
	flying  map[string]int // own choices in flight by model
	alone   int            // own choices in flight that are suspects
}

// load returns the requests on the runner, own ones not yet reflected included.
func (t *target) load() int {
	return t.digest.Running + t.digest.Waiting + len(t.recent)
}

// batch returns how many requests a step can hold.
func (t *target) batch() int {
	return max(1, t.digest.Batch)
}

// has reports whether a model is resident; the empty model always is.
func (t *target) has(model string) bool {
	return model == "" || slices.Contains(t.digest.Resident, model)
}

// coming reports whether a model is being loaded or has been sent for.
func (t *target) coming(model string) bool {
	return t.flying[model] > 0 || slices.Contains(t.digest.Loading, model)
}

// fits reports whether the runner would take one more request for a model. While its batch has room,
// everything that waits there waits for loads, and a request for a resident model starts past it.
func (t *target) fits(model string, queue int) bool {
	if t.has(model) && t.digest.Running+len(t.recent) < t.batch() {
		return true
	}
	return t.digest.Waiting+len(t.recent) < max(1, queue)
}
