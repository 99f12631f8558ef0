// Package spent holds what a host tells of a turn at an engine that has ended.
package spent

// Spent is immutable.
type Spent struct {
	Engine string `msgpack:"i"`
	Turn   uint64 `msgpack:"u"`
	Read   bool   `msgpack:"r,omitempty"` // the engine has read the prompt; else the turn was not used, or the request failed
}
