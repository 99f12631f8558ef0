// Package spent holds what a host tells of a turn at an engine, or a request at a brittle upstream, that has ended.
package spent

// Spent is immutable.
type Spent struct {
	Engine string `msgpack:"i"` // or another upstream
	Turn   uint64 `msgpack:"u"`
	Read   bool   `msgpack:"r,omitempty"` // the engine has read the prompt; else the turn was not used, or the request failed
	Away   bool   `msgpack:"w,omitempty"` // the upstream had no room for it
}
