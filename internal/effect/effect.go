// Package effect classifies an engine's response to an order.
package effect

// Effect is the outcome of an order. The zero value is Unknown, so that an unclassified order never counts as one without effect.
type Effect uint8

const (
	// Unknown means that no response came: the order may have been accepted, or may be accepted seconds later.
	Unknown Effect = iota
	// Accepted means that the engine carries out the order; its sequence number rose by one.
	Accepted
	// Done means that the engine is in the ordered state already.
	Done
	// Conflict means that another order is in progress or that the sequence number differs.
	Conflict
	// Fenced means that the engine has seen a newer fencing token.
	Fenced
	// Replaced means that the address belongs to another engine now.
	Replaced
	// Rejected means that the engine rejects the order itself.
	Rejected
)

// String returns the effect's name in logs.
func (e Effect) String() string {
	names := [...]string{"unknown", "accepted", "done", "conflict", "fenced", "replaced", "rejected"}
	if int(e) < len(names) {
		return names[e]
	}
	return "invalid"
}
