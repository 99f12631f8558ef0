// Package target holds one upstream as it registered itself.
package target

import (
	"slices"
	"time"
)

// Target is immutable.
type Target struct {
	ID       string
	Born     int64 // start of this incarnation; a restart may keep the id
	Group    string
	Addr     string
	Centre   string
	Slots    int
	Draining bool
	Gone     time.Time      // by when it is gone, where it said so
	Sequence int64          // orders that it has accepted since it started
	Models   []string       // base models that it holds
	Cached   []string       // base models whose weights it need not bring from the weight store
	Adapters map[string]int // "model/adapter" and its version, as of Sequence
}

// Same reports whether two registrations are of one incarnation.
func (t Target) Same(other Target) bool {
	return t.ID == other.ID && t.Born == other.Born
}

// Has reports whether it holds a base model.
func (t Target) Has(model string) bool {
	return slices.Contains(t.Models, model)
}

// AtHand reports whether a base model's weights need not come from the weight store.
func (t Target) AtHand(model string) bool {
	return slices.Contains(t.Cached, model)
}
