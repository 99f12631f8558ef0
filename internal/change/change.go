// Package change holds an order to an engine to load or unload an adapter or a base model.
package change

import "damaskreach/internal/target"

// Change is one order. It is immutable.
type Change struct {
	Target   target.Target
	Load     bool // else unload
	Model    string
	Adapter  string // name without the model; empty for the base model itself
	Version  int    // of the adapter; 0 means the newest
	Sequence int64  // number of orders that the engine must have accepted before this one
	Owner    string // host that sends the order
	Fence    int64  // fencing token of the host's claim
}
