// Package target holds the registration of one upstream.
package target

import (
	"slices"
)

// Target is one registration. It is immutable.
type Target struct {
	ID          string
	Incarnation int64 // when this incarnation started; a restart may keep the id
	Group       string
	Addr        string
	Centre      string
	Build       string // version of its software; streams of one build cannot go on at another
	Slots       int
	Draining    bool
	Sequence    int64          // number of orders that it has accepted since it started
	Models      []string       // base models that it holds
	Cached      []string       // base models whose weights it need not fetch from the weight store
	Adapters    map[string]int // versions by "model/adapter", as of Sequence
}

// SameIncarnation reports whether two registrations are of one incarnation of an upstream.
func (t Target) SameIncarnation(other Target) bool {
	return t.ID == other.ID && t.Incarnation == other.Incarnation
}

// HasModel reports whether the upstream holds a base model.
func (t Target) HasModel(model string) bool {
	return slices.Contains(t.Models, model)
}

// HasWeights reports whether the upstream need not fetch a base model's weights from the weight store.
func (t Target) HasWeights(model string) bool {
	return slices.Contains(t.Cached, model)
}
