// Package memo holds what the host that orders an engine knows of its adapters' use and of its speed, as it outlives that host.
//
// An engine tells what it holds, but not what was asked for last, nor which weights it still has at hand. A host that starts, or
// takes the engine from another one, unloads busy adapters as soon as idle ones, and has loaded elsewhere what would be back within
// a tenth of the time. One would notice adapters that come and go within seconds after each restart, while their requests are late.
package memo

import (
	"cmp"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// most is how many adapters are kept of an engine, the newest: engines keep the weights of a hundred or so.
const most = 100

// Memo is immutable.
type Memo struct {
	Born  int64    `msgpack:"b"` // incarnation of the engine
	Names []string `msgpack:"n"` // adapters that it holds or has at hand, the one used last first
	// Event is usually between two events of a stream; 0 where it is unknown.
	Event time.Duration `msgpack:"e,omitempty"`
}

// NewMemo returns the memo of an engine whose adapters were used last at these times.
func NewMemo(born int64, used map[string]time.Time) Memo {
	names := make([]string, 0, len(used))
	for name := range used {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(used[b].Compare(used[a]), cmp.Compare(a, b)) })
	return Memo{Born: born, Names: names[:min(len(names), most)]}
}

// WithEvent returns the memo with what was measured between two events.
func (m Memo) WithEvent(event time.Duration) Memo {
	m.Event = event
	return m
}

// Encode returns the memo as a row holds it.
func (m Memo) Encode() []byte {
	data, err := msgpack.Marshal(m)
	if err != nil {
		panic("memo: encoding plain fields: " + err.Error())
	}
	return data
}

// Decode reads what Encode wrote.
func Decode(data []byte) (Memo, error) {
	var m Memo
	if err := msgpack.Unmarshal(data, &m); err != nil {
		return Memo{}, merry.Prepend(err, "decoding what is known of an engine's adapters")
	}
	m.Names = m.Names[:min(len(m.Names), most)]
	return m, nil
}
