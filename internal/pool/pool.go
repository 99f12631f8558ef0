// Package pool holds the configuration of a group of upstreams.
package pool

import "damaskreach/internal/model"

// Pool is the configuration of one group. It is immutable.
type Pool struct {
	Name        string
	HealthPath  string
	MaxConns    int // connections that one upstream accepts from all callers together; 0 means unknown
	Engine      bool
	Slots       int     // requests that one engine runs at once
	MemoryMB    int     // for weights and adapters, in MB
	MaxAdapters int     // adapters that one engine holds at most
	LoadRate    float64 // loads a second that the weight store allows over all engines; 0 means unknown
	Models      []model.Model
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

// AdapterCapacity returns how many adapters of a model fit into an engine's memory beside its weights.
func (p Pool) AdapterCapacity(m model.Model) int {
	if m.Adapter <= 0 {
		return p.MaxAdapters
	}
	return max(0, min(p.MaxAdapters, (p.MemoryMB-m.Size)/m.Adapter))
}
