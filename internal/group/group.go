// Package group holds the operators' row of one upstream group.
package group

// Group is a set of upstreams that serve the same base model or plain service.
type Group struct {
	Name  string  `toml:"name" json:"name"`
	Base  string  `toml:"base,omitempty" json:"base,omitempty"`   // base model; empty for a plain service
	Store string  `toml:"store,omitempty" json:"store,omitempty"` // weight store its engines load from
	Rate  float64 `toml:"rate,omitempty" json:"rate,omitempty"`   // loads a second that the store allows; 0 means 3
	Plain bool    `toml:"plain,omitempty" json:"plain,omitempty"` // a plain service: no adapters, no loads
}

const usualRate = 3.0 // loads a second

// LoadRate returns how many loads a second the group's weight store allows.
func (g Group) LoadRate() float64 {
	if g.Rate > 0 {
		return g.Rate
	}
	return usualRate
}
