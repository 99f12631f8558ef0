// Package engine is the only way to a model engine or plain service.
package engine

import (
	"context"

	"damaskreach/internal/call"
	"damaskreach/internal/report"
	"damaskreach/pkg/verd"
)

// Emit receives one piece of an answer; an error stops the answer.
// For a stream, token is the number of the piece's last token, counted from 1; for a plain answer it is 0.
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
}

// NotRun marks err as one that occurred before any byte was written.
func NotRun(err error) error {
	return verd.Mark(err, verd.NotRun)
}
