package tenure

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"damaskreach/internal/mate"
	"damaskreach/internal/rates"
)

// Prefix is the prefix of all rows that hosts keep in the store. They lie together so that one reading finds all changes.
const Prefix = "fleet/"

const (
	hostPrefix = Prefix + "host:"
	ownPrefix  = Prefix + "own:"
	// keyRow holds the secret by which hosts know each other.
	keyRow = Prefix + "secret"
)

// session is the row of one host. Its revision changes with each renewal, which is all that others look at.
type session struct {
	IP      string  `msgpack:"ip"`
	Peers   string  `msgpack:"peers"`   // address for other hosts
	Callers string  `msgpack:"callers"` // address for callers
	Centre  string  `msgpack:"centre"`
	Power   float64 `msgpack:"power"`   // cores that it may use
	Start   string  `msgpack:"start"`   // tells one start of the program from another
	Epoch   int64   `msgpack:"epoch"`   // tells one session from the next, and rises; an engine's row names the one it belongs to
	Passive bool    `msgpack:"passive"` // it gives no orders and does not renew the row
	Ended   bool    `msgpack:"ended"`   // others have seen it lapse; it holds nothing any more
	Calm    bool    `msgpack:"calm"`    // no lease of an earlier era of the store was left when it was written
	// Rates is what the host has measured, for those that start later.
	Rates rates.Rates `msgpack:"rates"`
}

// mate returns what others need to know of the host.
func (s session) mate() mate.Mate {
	return mate.Mate{IP: s.IP, Peers: s.Peers, Callers: s.Callers, Centre: s.Centre, Power: s.Power}
}

// withRates returns a copy with other measurements.
func (s session) withRates(r rates.Rates) session {
	s.Rates = r
	return s
}

// ownership is the row of one engine: which host gives it its orders.
type ownership struct {
	IP    string `msgpack:"ip"`
	Epoch int64  `msgpack:"epoch"` // of the host's session
	Fence int64  `msgpack:"fence"`
	// Freed is the start of the program that has given the engine up; empty while it is held.
	Freed string `msgpack:"freed,omitempty"`
	// Idle is how long it had given no order by then.
	Idle time.Duration `msgpack:"idle,omitempty"`
}

func encode(v any) []byte {
	data, err := msgpack.Marshal(v)
	if err != nil {
		panic("tenure: encoding a row of plain fields: " + err.Error())
	}
	return data
}
