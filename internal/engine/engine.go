// Package engine implements the client of upstreams: model engines and plain HTTP services.
package engine

import (
	"context"
	"net"

	"damaskreach/internal/call"
	"damaskreach/internal/report"
	"damaskreach/pkg/verd"
)

// emit receives one piece of an answer; an error aborts the answer.
// For a stream, a piece is the data of one event, without "data: " and line end, and never the final [DONE];
// token is the number of tokens up to and including this piece. For a plain answer, the piece is the whole
// body and token is 0. The piece is valid only during the call.
type emit = func(token int, piece []byte) error

// Engine is the client of one upstream; each field is one operation.
// Errors carry a verdict, which is not-run until the first byte of a request was written.
type Engine struct {
	// Generate runs a call and emits its answer, after passing the status and content type to head.
	// It returns nil only if the answer is complete.
	Generate func(ctx context.Context, fence int64, c call.Call, head func(status int, kind string) error, emit emit) error
	// Load orders the engine to load a model into a free slot and returns when it is resident.
	Load func(ctx context.Context, fence int64, model string) error
	// Unload orders the engine to unload a model and returns when its slot is free.
	Unload func(ctx context.Context, fence int64, model string) error
	// Report returns the engine's current report about itself.
	Report func(ctx context.Context) (report.Report, error)
	// Close closes idle connections; calls in progress continue.
	Close func()
}

// NewEngine returns an Engine that sends HTTP requests to addr over connections opened by dial.
func NewEngine(addr string, dial func(ctx context.Context, addr string) (net.Conn, error)) Engine {
	c := newClient(addr, dial)
	return Engine{
		Generate: c.generate,
		Load:     c.load,
		Unload:   c.unload,
		Report:   c.report,
		Close:    c.close,
	}
}

// NotRun marks err as having occurred before any byte of the request was written.
func NotRun(err error) error {
	return verd.Mark(err, verd.NotRun)
}
