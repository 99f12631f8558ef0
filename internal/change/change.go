// Package change holds an order to an engine to load or unload something.
package change

import "damaskreach/internal/target"

// Change is immutable.
type Change struct {
	Target   target.Target
	Load     bool // else unload
	Model    string
	Adapter  string // its name without the model; empty for the base model itself
	Version  int    // of the adapter; 0 means the newest
	Sequence int64  // orders that the engine must have accepted before this one
	Holder   string // host that gives the order
	Fence    int64  // fencing token of its tenure
}
