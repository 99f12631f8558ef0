// Package stock holds an owner's report of an engine to other hosts: the adapters that it holds, and its speed.
package stock

import "time"

// Stock is one report. It is immutable.
type Stock struct {
	ID            string         `msgpack:"i"`
	Incarnation   int64          `msgpack:"b"`
	Sequence      int64          `msgpack:"s"`
	Adapters      map[string]int `msgpack:"a"`
	EventInterval time.Duration  `msgpack:"e,omitempty"` // usual time between two events of a stream; 0 where it is unknown
	// Recent lists adapters whose weights the engine has cached, most recently used first; it is not sent to other hosts.
	Recent []string `msgpack:"-"`
}
