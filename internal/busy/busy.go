// Package busy holds what a host tells the others of itself and of the engines that it orders.
package busy

import "maps"

// Busy is immutable.
type Busy struct {
	IP      string         `msgpack:"i"`
	Beat    int64          `msgpack:"b"`           // grows with each change, also over a restart; of two the higher one is newer
	Gone    bool           `msgpack:"g,omitempty"` // nobody hears of it any more; nothing else is set then
	Leaving bool           `msgpack:"l,omitempty"`
	Lapsed  bool           `msgpack:"n,omitempty"` // it may give no orders now
	Away    bool           `msgpack:"a,omitempty"` // the store does not answer it
	Cut     bool           `msgpack:"c,omitempty"` // it reaches no upstream
	Models  int            `msgpack:"o,omitempty"` // base models on their way to engines that it orders
	Loads   map[string]int `msgpack:"r,omitempty"` // requests at engines that it orders
	Waits   map[string]int `msgpack:"w,omitempty"` // ms that a prompt would wait at them
}

// Same reports whether two say the same, whenever they were said.
func (b Busy) Same(other Busy) bool {
	return b.Gone == other.Gone && b.Leaving == other.Leaving && b.Lapsed == other.Lapsed && b.Away == other.Away && b.Cut == other.Cut && b.Models == other.Models &&
		maps.Equal(b.Loads, other.Loads) && maps.Equal(b.Waits, other.Waits)
}
