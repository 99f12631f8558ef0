// Package kinds says what may be repeated of the requests on a route.
package kinds

// Kind of the requests on a route. The zero value is the strictest.
type Kind uint8

const (
	// Once requests run at most once for each attempt of a caller.
	Once Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events and run at most once, unless the route is resumable.
	Stream
)
