package tenure

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"damaskreach/internal/mate"
	"damaskreach/internal/rates"
)

// Prefix is the prefix of all rows that hosts keep in the store; one read under it finds all changes.
const Prefix = "fleet/"

const (
	hostPrefix = Prefix + "host:"
	ownPrefix  = Prefix + "own:"
	// keyRow holds the secret by which hosts authenticate each other.
	keyRow = Prefix + "secret"
)

// session is the row of one host. Each renewal changes its revision, by which others tell that the host is alive.
type session struct {
	IP         string  `msgpack:"ip"`
	PeerAddr   string  `msgpack:"peers"`   // address for other hosts
	CallerAddr string  `msgpack:"callers"` // address for callers
	Centre     string  `msgpack:"centre"`
	Cores      float64 `msgpack:"power"`   // cores that its process may use
	StartID    string  `msgpack:"start"`   // identifies the process
	Epoch      int64   `msgpack:"epoch"`   // identifies the session, and rises; an engine's row names the one it belongs to
	Passive    bool    `msgpack:"passive"` // the host sends no orders and does not renew the row
	Ended      bool    `msgpack:"ended"`   // others have seen the session lapse; it owns nothing any more
	EraSettled bool    `msgpack:"calm"`    // no lease of an earlier era of the store could be in force when this was written
	// Part is what became of the host's part of what all hosts divide by their number, and Taken what was used of one that is returned.
	Part  partState `msgpack:"part"`
	Taken string    `msgpack:"taken,omitempty"`
	// Rates is what the host has measured, for hosts that start later.
	Rates rates.Rates `msgpack:"rates"`
}

// mate returns what other hosts need to know of the host.
func (s session) mate() mate.Mate {
	return mate.Mate{IP: s.IP, PeerAddr: s.PeerAddr, CallerAddr: s.CallerAddr, Centre: s.Centre, Cores: s.Cores}
}

// withRates returns a copy with other measurements.
func (s session) withRates(r rates.Rates) session {
	s.Rates = r
	return s
}

// ownership is the row of one engine and names its owner.
type ownership struct {
	IP    string `msgpack:"ip"`
	Epoch int64  `msgpack:"epoch"` // of the host's session
	Fence int64  `msgpack:"fence"`
	// ReleasedBy is the StartID of the process that released the engine; empty while it is held.
	ReleasedBy string `msgpack:"freed,omitempty"`
	// IdleFor is how long the engine had been sent no order by then.
	IdleFor time.Duration `msgpack:"idle,omitempty"`
}

func encode(v any) []byte {
	data, err := msgpack.Marshal(v)
	if err != nil {
		panic("tenure: encoding a row of plain fields: " + err.Error())
	}
	return data
}
