// Package state holds what an engine reports of itself when it is asked, some hundred milliseconds late.
package state

// State is immutable.
type State struct {
	Born     int64
	Sequence int64 // orders accepted since it started
	Busy     bool  // a base model is being loaded or unloaded
	Models   []string
	Adapters map[string]int // "model/adapter" and its version
	Pending  map[string]int // adapters on their way to it
}
