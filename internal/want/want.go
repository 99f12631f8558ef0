// Package want holds a request to the host that orders an engine to have an adapter loaded.
package want

// Want is immutable.
type Want struct {
	ID      string `msgpack:"i"` // of the engine
	Model   string `msgpack:"m"`
	Adapter string `msgpack:"a"` // "model/adapter"
	Version int    `msgpack:"v"` // at least this one; 0 takes any
}
