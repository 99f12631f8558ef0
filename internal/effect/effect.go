// Package effect says what an engine answered to an order.
package effect

// Effect of an order. The zero value is Unknown: an order that nobody classified is never taken for one without effect.
type Effect uint8

const (
	// Unknown means that no answer came: the order may have been accepted, or may be seconds later.
	Unknown Effect = iota
	// Accepted means that the engine carries the order out; its sequence went up by one.
	Accepted
	// Done means that what was ordered holds already.
	Done
	// Conflict means that another order is in progress or that the sequence is another.
	Conflict
	// Fenced means that the engine has seen a newer fencing token.
	Fenced
	// Replaced means that another engine has the address.
	Replaced
	// Rejected means that the engine does not take the order at all.
	Rejected
)

// String returns the form used in logs.
func (e Effect) String() string {
	names := [...]string{"unknown", "accepted", "done", "conflict", "fenced", "replaced", "rejected"}
	if int(e) < len(names) {
		return names[e]
	}
	return "invalid"
}
