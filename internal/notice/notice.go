// Package notice holds what an upstream says of itself beside an answer.
package notice

// Notice is immutable.
type Notice struct {
	Limited bool
	Limit   float64 // requests a second that the upstream takes from all hosts together, where Limited
}
