// Package stock holds what a host tells others that one engine holds.
package stock

// Stock is immutable.
type Stock struct {
	ID       string         `msgpack:"i"`
	Born     int64          `msgpack:"b"`
	Sequence int64          `msgpack:"s"`
	Adapters map[string]int `msgpack:"a"`
	// Recent are adapters whose weights it has at hand, the one used last first; not told to other hosts.
	Recent []string `msgpack:"-"`
}
