// Package gossip holds the message that two hosts exchange: a request and its answer have the same form.
package gossip

import (
	"damaskreach/internal/feed"
	"damaskreach/internal/marks"
	"damaskreach/internal/status"
	"damaskreach/internal/stock"
	"damaskreach/internal/usage"
)

// Gossip is one message. It carries the changes that the receiver hasn't acknowledged; see package roster.
type Gossip struct {
	IP                  string          `msgpack:"i"`
	Incarnation         string          `msgpack:"s"`           // of the sender's roster and the scope; changes when the sender restarts
	Relay               bool            `msgpack:"r,omitempty"` // the sender reports other hosts too
	Sequence            int64           `msgpack:"n,omitempty"` // of the sender's latest change
	After               int64           `msgpack:"f,omitempty"` // the message has the changes after this one; 0 means the full state
	ReceiverIncarnation string          `msgpack:"o,omitempty"` // the receiver's incarnation, as the sender knows it
	Acked               int64           `msgpack:"k,omitempty"` // latest change of the receiver that the sender has seen
	Hosts               []status.Status `msgpack:"h,omitempty"`
	Stocks              []stock.Stock   `msgpack:"e,omitempty"` // adapters on engines
	Usages              []usage.Usage   `msgpack:"u,omitempty"` // of engines owned by the receiver or by hosts of its group
	Breaks              []string        `msgpack:"b,omitempty"` // requests during which upstreams broke off, see package blame
	ReadMarks           *marks.Marks    `msgpack:"m,omitempty"` // how far the sender has read the store, if it is a reader
	KnownFeeds          []feed.Feed     `msgpack:"v,omitempty"` // versions of the store rows that the sender has, without rows
	Feeds               []feed.Feed     `msgpack:"d,omitempty"` // store rows that the receiver lacks
	LargeFeeds          []feed.Feed     `msgpack:"w,omitempty"` // like Feeds, for rows too large for a message; the receiver fetches them
}
