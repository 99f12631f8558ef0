// Package doubt names what speaks against an upstream's statement that it has not run a request.
package doubt

// Doubt is a part of an answer's head that does not fit the statement. The zero value means that everything fits.
type Doubt uint8

const (
	// None means that nothing speaks against the statement.
	None Doubt = iota
	// Unnamed means that the answer does not say to which request it belongs, or names several.
	Unnamed
	// Status means that upstreams reject no requests with its status.
	Status
	// Value means that the statement is not worded as agreed.
	Value
	// Stamped means that the answer bears the mark of a run.
	Stamped
)

// String returns the name used in log lines and metrics.
func (d Doubt) String() string {
	switch d {
	case None:
		return "none"
	case Unnamed:
		return "unnamed"
	case Status:
		return "status"
	case Value:
		return "value"
	case Stamped:
		return "stamped"
	}
	return "unknown"
}
