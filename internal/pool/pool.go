// Package pool holds what the configuration says of a group of upstreams.
package pool

import "damaskreach/internal/model"

// Pool is immutable.
type Pool struct {
	Name       string
	HealthPath string
	MaxConns   int // that one upstream takes from all callers together; 0 means unknown
	Engine     bool
	Slots      int     // requests that one engine runs at once
	Memory     int     // for weights and adapters, in MB
	Places     int     // adapters that one engine holds at most
	LoadRate   float64 // loads a second that the weight store allows over all engines; 0 means unknown
	Models     []model.Model
}

// Model returns a model by its name.
func (p Pool) Model(name string) (model.Model, bool) {
	for _, m := range p.Models {
		if m.Name == name {
			return m, true
		}
	}
	return model.Model{}, false
}

// Room returns how many adapters of a model fit beside its weights.
func (p Pool) Room(m model.Model) int {
	if m.Adapter <= 0 {
		return p.Places
	}
	return max(0, min(p.Places, (p.Memory-m.Size)/m.Adapter))
}
