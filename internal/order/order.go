// Package order holds what the scheduler of a runner decided to do.
package order

import (
	"damaskreach/internal/reason"
	"damaskreach/pkg/refuse"
)

// Kinds of orders.
const (
	Start  = "start"  // send the attempt to the engine now
	Load   = "load"   // load Model into a free slot
	Unload = "unload" // unload Model, which no request uses
	Refuse = "refuse" // answer the attempt with Refusal at once
)

// Order is one decision, to be carried out by the owner's traffic goroutines.
type Order struct {
	Kind    string
	Attempt string          // of Start and Refuse
	Model   string          // of Load and Unload, as adapter@version
	Refusal *refuse.Refusal // of Refuse
	Why     reason.Reason
}
