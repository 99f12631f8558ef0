// Package gossip holds what two hosts tell each other: a question and its answer have the same form.
package gossip

import (
	"damaskreach/internal/feed"
	"damaskreach/internal/marks"
	"damaskreach/internal/status"
	"damaskreach/internal/stock"
	"damaskreach/internal/usage"
)

// Gossip is one message. It tells what changed since what the receiver has seen; see package roster.
type Gossip struct {
	IP     string          `msgpack:"i"`
	Start  string          `msgpack:"s"`           // tells the sender's numbers from those of its earlier starts
	Relay  bool            `msgpack:"r,omitempty"` // it speaks for others too
	Number int64           `msgpack:"n,omitempty"` // of the sender's newest change
	After  int64           `msgpack:"f,omitempty"` // it tells the changes after this one; 0 means all that there is
	Of     string          `msgpack:"o,omitempty"` // start of the receiver, as the sender knows it
	Seen   int64           `msgpack:"k,omitempty"` // newest change of the receiver's that the sender has seen
	Hosts  []status.Status `msgpack:"h,omitempty"`
	Held   []stock.Stock   `msgpack:"e,omitempty"` // what engines hold
	Uses   []usage.Usage   `msgpack:"u,omitempty"` // of engines whose orders come from the receiver or from hosts that it speaks for
	Broke  []string        `msgpack:"b,omitempty"` // requests under which upstreams broke off, see package blame
	Read   *marks.Marks    `msgpack:"m,omitempty"` // how far the store was read by a host that reads it for others
	Known  []feed.Feed     `msgpack:"v,omitempty"` // how far the sender knows rows of the store; no rows in it
	Feeds  []feed.Feed     `msgpack:"d,omitempty"` // rows of the store that the receiver does not know yet
	Named  []feed.Feed     `msgpack:"w,omitempty"` // the same where the rows are too large for a message: it asks for them apart
}
