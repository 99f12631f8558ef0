// Package intent holds a host's request to the owner of an engine: to have an adapter loaded and a prompt admitted.
package intent

import "time"

// Intent is one request to an owner. It is immutable.
type Intent struct {
	EngineID       string        `msgpack:"i"`
	Requester      string        `msgpack:"h"` // IP of the host that sends the request
	Model          string        `msgpack:"m"`
	Adapter        string        `msgpack:"a,omitempty"` // "model/adapter"; empty where the base model itself is requested
	Version        int           `msgpack:"v,omitempty"` // lowest acceptable version; 0 accepts any
	PromptCost     time.Duration `msgpack:"c,omitempty"` // time to read the prompt; 0 where none will be sent
	StallBudget    time.Duration `msgpack:"r,omitempty"` // how long reading prompts may stall a stream
	PauseTail      time.Duration `msgpack:"t,omitempty"` // time after a prompt was read in which the next one falls into the same stall
	MaxPromptWait  time.Duration `msgpack:"b,omitempty"` // longest useful wait for other prompts; 0 means any
	MaxLoadWait    time.Duration `msgpack:"l,omitempty"` // longest useful wait for a load; 0 means any
	TimeLeft       time.Duration `msgpack:"e,omitempty"` // within which the answer can still be on time
	Loaded         bool          `msgpack:"d,omitempty"` // the engine holds the adapter as far as the requester knows
	Background     bool          `msgpack:"s,omitempty"` // no caller waits: to add the adapter to one more engine, or to report a rate limit
	Priority       int           `msgpack:"p,omitempty"` // lower goes first
	Team           string        `msgpack:"w,omitempty"` // team of the caller; empty where callers need no key
	TeamWeight     float64       `msgpack:"y,omitempty"` // share of the team where capacity is short
	Streaming      bool          `msgpack:"f,omitempty"` // the caller has a part of the answer; goes before any Priority
	Turn           uint64        `msgpack:"u,omitempty"` // id of the requested turn, whose holder reports when the prompt was read; 0 for none
	HasRateLimit   bool          `msgpack:"n,omitempty"` // RateLimit was reported; without it nothing is known
	RateLimit      float64       `msgpack:"q,omitempty"` // requests a second that the upstream accepts; 0 means no limit
	RateLimitAge   time.Duration `msgpack:"g,omitempty"` // time since the upstream reported it
	HasRejectLimit bool          `msgpack:"k,omitempty"` // RejectLimit was reported; without it nothing is known
	RejectLimit    int           `msgpack:"x,omitempty"` // rejections a second that the upstream survives; 0 means any number
	RejectLimitAge time.Duration `msgpack:"z,omitempty"` // time since the upstream reported it
}
