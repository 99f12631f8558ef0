// Package gossip holds what a host tells the others several times a second.
package gossip

import (
	"damaskreach/internal/marks"
	"damaskreach/internal/stock"
)

// Gossip is one message. Lists are short: what did not change since the last message to a host is left out.
type Gossip struct {
	IP      string              `msgpack:"i"`
	Leaving bool                `msgpack:"l,omitempty"`
	Lapsed  bool                `msgpack:"n,omitempty"` // it may give no orders now
	Read    *marks.Marks        `msgpack:"m,omitempty"` // set by a host that reads the store for others
	Loads   map[string]int      `msgpack:"r,omitempty"` // requests sent of late to engines that the sender orders
	Held    []stock.Stock       `msgpack:"h,omitempty"` // engines that this host orders, where changed
	Running map[string]int      `msgpack:"x,omitempty"` // requests under way at engines that the receiver orders
	Used    map[string][]string `msgpack:"u,omitempty"` // adapters used at engines that the receiver orders
	Models  int                 `msgpack:"o,omitempty"` // base models on their way to engines that the sender orders
	Broke   []string            `msgpack:"b,omitempty"` // requests under which upstreams broke off, see package blame
	Waits   map[string]int      `msgpack:"w,omitempty"` // ms that a prompt would wait at engines that this host orders
}
