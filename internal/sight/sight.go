// Package sight holds what a dial has shown of an upstream.
package sight

// Sight is what a dial has shown. Hosts send it to each other as its number.
type Sight int

const (
	// Unknown is that of a dial that neither succeeded nor was refused.
	Unknown Sight = iota
	// Listens is that of one that succeeded: the upstream, or its successor, goes on.
	Listens
	// Gone is that of one that was refused: nothing listens there any more.
	Gone
)

// String returns the name for log lines.
func (s Sight) String() string {
	switch s {
	case Listens:
		return "listens"
	case Gone:
		return "gone"
	default:
		return "unknown"
	}
}
