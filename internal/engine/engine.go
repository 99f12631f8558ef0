// Package engine is the only way to a model engine or plain service.
package engine

import (
	"context"
	"net"

	"damaskreach/internal/call"
	"damaskreach/internal/report"
	"damaskreach/pkg/verd"
)

// Emit receives one piece of an answer; an error stops the answer.
// For a stream, a piece is the data of one event, without "data: " and line end, and never the closing [DONE];
// token is the number of the piece's last token, counted from 1. For a plain answer, the piece is the whole
// body and token is 0. The piece is valid only during the call.
type emit = func(token int, piece []byte) error

// Engine reaches one upstream; each field is one of its operations.
// Errors carry a verdict: not-run until the first byte of a request was written.
type Engine struct {
	// Generate runs a call and emits its answer; it returns the status and content type by head before the first piece.
	// It returns nil only where the answer is whole.
	Generate func(ctx context.Context, fence int64, c call.Call, head func(status int, kind string) error, emit emit) error
	// Load orders a model into a free slot and returns when it is resident.
	Load func(ctx context.Context, fence int64, model string) error
	// Unload orders a model out of its slot and returns when it is gone.
	Unload func(ctx context.Context, fence int64, model string) error
	// Report returns the engine's latest account of itself.
	Report func(ctx context.Context) (report.Report, error)
	// Close drops the idle connections; calls in progress go on.
	Close func()
}

// NewEngine returns an engine that is reached by HTTP at addr over connections that dial opens.
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

// NotRun marks err as one that occurred before any byte was written.
func NotRun(err error) error {
	return verd.Mark(err, verd.NotRun)
}
