// Package group holds the operators' row of one upstream group.
package group

// Group is a set of upstreams that serve the same base model or plain service.
type Group struct {
	Name  string `toml:"name" json:"name"`
	Base  string `toml:"base,omitempty" json:"base,omitempty"`   // base model; empty for a plain service
	Store string `toml:"store,omitempty" json:"store,omitempty"` // weight store its engines load from
	Plain bool   `toml:"plain,omitempty" json:"plain,omitempty"` // a plain service: no adapters, no loads
}
