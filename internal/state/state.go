// Package state holds an engine's report of its own state, which is some hundred milliseconds old when it arrives.
package state

// State is one report. It is immutable.
type State struct {
	Incarnation int64
	Sequence    int64 // number of orders accepted since it started
	Busy        bool  // a base model is being loaded or unloaded
	Models      []string
	Adapters    map[string]int // versions by "model/adapter"
	Pending     map[string]int // versions of adapters that are being loaded
}
