// Package status holds a host's report to other hosts about itself and the engines that it owns.
package status

import "maps"

// Status is one report. It is immutable.
type Status struct {
	IP          string         `msgpack:"i"`
	Version     int64          `msgpack:"b"`           // rises with each change, also over a restart; of two reports the higher one is newer
	Gone        bool           `msgpack:"g,omitempty"` // no host reaches it any more; no other field is set then
	Leaving     bool           `msgpack:"l,omitempty"`
	LeaseLapsed bool           `msgpack:"n,omitempty"` // it may send no orders now
	StoreDown   bool           `msgpack:"a,omitempty"` // the store does not answer it
	Isolated    bool           `msgpack:"c,omitempty"` // it reaches no upstream
	ModelLoads  int            `msgpack:"o,omitempty"` // base models that its engines are loading
	Requests    map[string]int `msgpack:"r,omitempty"` // requests at its engines, by id
	PromptWaits map[string]int `msgpack:"w,omitempty"` // milliseconds that a prompt would wait at its engines, by id
}

// SameContent reports whether two reports say the same, whatever their versions are.
func (b Status) SameContent(other Status) bool {
	return b.Gone == other.Gone && b.Leaving == other.Leaving && b.LeaseLapsed == other.LeaseLapsed && b.StoreDown == other.StoreDown &&
		b.Isolated == other.Isolated && b.ModelLoads == other.ModelLoads &&
		maps.Equal(b.Requests, other.Requests) && maps.Equal(b.PromptWaits, other.PromptWaits)
}
