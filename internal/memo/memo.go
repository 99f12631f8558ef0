// Package memo holds what an engine's owner knows of its speed and of the use of its adapters, kept in the store for the next owner.
//
// An engine reports which adapters it holds, but not which were used last, nor which weights it still has cached. Without that, a host
// that starts or takes over an engine would unload busy adapters as soon as idle ones, and load elsewhere what the engine could reload in
// a tenth of the time: after each restart adapters would come and go within seconds while their requests are late.
package memo

import (
	"cmp"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// maxNames is how many of an engine's adapters are kept, the most recent ones: engines cache the weights of about a hundred.
const maxNames = 100

// Memo is an immutable record about one engine.
type Memo struct {
	Incarnation int64    `msgpack:"b"`
	Names       []string `msgpack:"n"` // adapters that it holds or has cached, most recently used first
	// EventInterval is the usual time between two events of a stream; 0 where it is unknown.
	EventInterval time.Duration `msgpack:"e,omitempty"`
}

// NewMemo returns the memo of an engine, given when each of its adapters was last used.
func NewMemo(incarnation int64, used map[string]time.Time) Memo {
	names := make([]string, 0, len(used))
	for name := range used {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(used[b].Compare(used[a]), cmp.Compare(a, b)) })
	return Memo{Incarnation: incarnation, Names: names[:min(len(names), maxNames)]}
}

// WithEventInterval returns a copy with the usual time between two events of a stream.
func (m Memo) WithEventInterval(event time.Duration) Memo {
	m.EventInterval = event
	return m
}

// Encode returns the value of the memo's row.
func (m Memo) Encode() []byte {
	data, err := msgpack.Marshal(m)
	if err != nil {
		panic("memo: encoding plain fields: " + err.Error())
	}
	return data
}

// Decode parses a value that Encode returned.
func Decode(data []byte) (Memo, error) {
	var m Memo
	if err := msgpack.Unmarshal(data, &m); err != nil {
		return Memo{}, merry.Prepend(err, "decoding the memo of an engine")
	}
	m.Names = m.Names[:min(len(m.Names), maxNames)]
	return m, nil
}
