// Package sess holds the session row by which a node takes part.
package sess

import (
	"encoding/json"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/table"
)

// States of a node.
const (
	Live    = "live"    // serves
	Leaving = "leaving" // finishes what runs and takes no new role
	Ended   = "ended"   // has finished everything and will never act again
)

// Session is one life of a node process; a restarted process has another epoch.
type Session struct {
	Node   string `json:"node" msgpack:"node"`     // node id from the settings
	Epoch  string `json:"epoch" msgpack:"epoch"`   // random, new with every start
	Site   string `json:"site" msgpack:"site"`     // nodes of one site share runners
	Centre string `json:"centre" msgpack:"centre"` // data centre
	Peer   string `json:"peer" msgpack:"peer"`     // IP and port for other nodes
	HTTP   string `json:"http" msgpack:"http"`     // IP and port for callers
	Admin  string `json:"admin" msgpack:"admin"`   // IP and port for operators
	State  string `json:"state" msgpack:"state"`   // Live or Leaving
	Beat   int64  `json:"beat" msgpack:"beat"`     // grows with every renewal; tells one's own write from another's
}

// ID names the session, unique for all time.
func (s Session) ID() string {
	return s.Node + "." + s.Epoch
}

// Prefix returns the key prefix of a site's session rows.
func Prefix(site string) string {
	return table.PrefixNode + site + "/"
}

// Key returns the key of the session's row.
func (s Session) Key() string {
	return Key(s.Site, s.ID())
}

// Key returns the key of the row of a session given by its id.
func Key(site, id string) string {
	return Prefix(site) + id
}

// WithState returns a copy in another state.
func (s Session) WithState(state string) Session {
	s.State = state
	return s
}

// WithBeat returns a copy with another renewal number.
func (s Session) WithBeat(beat int64) Session {
	s.Beat = beat
	return s
}

// WithEpoch returns a copy that starts another life.
func (s Session) WithEpoch(epoch string) Session {
	s.Epoch = epoch
	s.Beat = 0
	return s
}

// Encode returns the row value.
func (s Session) Encode() []byte {
	value, err := json.Marshal(s)
	if err != nil {
		panic(err) // strings and integers always encode
	}
	return value
}

// Decode reads a row value.
func Decode(value []byte) (Session, error) {
	var s Session
	if err := json.Unmarshal(value, &s); err != nil {
		return Session{}, merry.Prepend(err, "reading a session row")
	}
	return s, nil
}
