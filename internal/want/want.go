// Package want holds a request to the host that orders an engine: to have an adapter loaded and to send a prompt.
package want

import "time"

// Want is immutable.
type Want struct {
	ID       string        `msgpack:"i"` // of the engine
	Host     string        `msgpack:"h"` // that asks
	Model    string        `msgpack:"m"`
	Adapter  string        `msgpack:"a,omitempty"` // "model/adapter"; empty where the base model itself is asked for
	Version  int           `msgpack:"v,omitempty"` // at least this one; 0 takes any
	Cost     time.Duration `msgpack:"c,omitempty"` // to read the prompt; 0 where nothing will be sent
	Room     time.Duration `msgpack:"r,omitempty"` // that reading prompts may hold up a stream
	Tail     time.Duration `msgpack:"t,omitempty"` // after a prompt was read in which the next falls into the same pause
	Bound    time.Duration `msgpack:"b,omitempty"` // longest wait for other prompts that is of use; 0 means any
	Limit    time.Duration `msgpack:"l,omitempty"` // longest wait for a load that is of use; 0 means any
	Patience time.Duration `msgpack:"e,omitempty"` // from now within which the answer can still be on time
	Held     bool          `msgpack:"d,omitempty"` // the engine holds the adapter as far as the host knows that asks
	Spread   bool          `msgpack:"s,omitempty"` // no request waits: the adapter would come to one more engine, or what was heard of a limit is told
	Rank     int           `msgpack:"p,omitempty"` // lower goes first
	Team     string        `msgpack:"w,omitempty"` // that asks; empty where callers need no key
	Weight   float64       `msgpack:"y,omitempty"` // of the team beside others where room is short
	Begun    bool          `msgpack:"f,omitempty"` // the caller has a part of the answer; goes before any Rank
	Turn     uint64        `msgpack:"u,omitempty"` // that is asked for: whoever has it says when its prompt has been read; 0 where nobody will
	Rated    bool          `msgpack:"n,omitempty"` // Rate was heard; without it nothing is known
	Rate     float64       `msgpack:"q,omitempty"` // requests a second that the upstream takes; 0 means no limit
	RateAge  time.Duration `msgpack:"g,omitempty"` // how long ago it said so
	Frail    bool          `msgpack:"k,omitempty"` // Away was heard; without it nothing is known
	Away     int           `msgpack:"x,omitempty"` // rejections in a second that the upstream bears; 0 means that it is not brittle
	AwayAge  time.Duration `msgpack:"z,omitempty"` // how long ago it said so
}
