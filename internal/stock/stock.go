// Package stock holds what a host tells others of an engine: what it holds and how fast it is.
package stock

import "time"

// Stock is immutable.
type Stock struct {
	ID       string         `msgpack:"i"`
	Born     int64          `msgpack:"b"`
	Sequence int64          `msgpack:"s"`
	Adapters map[string]int `msgpack:"a"`
	Event    time.Duration  `msgpack:"e,omitempty"` // usually between two events of a stream; 0 where it is unknown
	// Recent are adapters whose weights it has at hand, the one used last first; not told to other hosts.
	Recent []string `msgpack:"-"`
}
