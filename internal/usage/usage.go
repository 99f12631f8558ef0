// Package usage holds what the requests of one host use at one engine.
package usage

import "time"

// Usage is immutable.
type Usage struct {
	Host     string   `msgpack:"h"`
	Engine   string   `msgpack:"e"`
	Running  int      `msgpack:"r,omitempty"` // requests under way
	Adapters []string `msgpack:"a,omitempty"` // that they use
	Event    int64    `msgpack:"v,omitempty"` // µs between two events as the host measured them of late
	Events   int      `msgpack:"n,omitempty"` // over how many of them
	Age      int64    `msgpack:"t,omitempty"` // ms since the host counted, when this was sent
}

// At returns when the host counted, for one that receives this now.
func (u Usage) At(now time.Time) time.Time {
	return now.Add(-time.Duration(u.Age) * time.Millisecond)
}
