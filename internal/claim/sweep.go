package claim

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/rows"
	"damaskreach/internal/table"
)

const (
	pieces    = 4096 // in which the claims are read, by the first three digits of their keys
	passes    = 8    // over all claims in the life of one
	pieceTime = 10 * time.Second
	staleWait = time.Hour // after which a keeper forgets an open claim; another keeper may have seen its end
)

// Sweep deletes claims at the end of their life, until ctx ends. Each piece of the claims is read by one node, and the
// deletions are gathered like other writes.
//
// A claim's age is by the clocks of two nodes. Clocks that differ by minutes shorten or lengthen a life of hours by as
// much; nothing else rests on them.
func (c *Claim) Sweep(ctx context.Context) {
	timer := time.NewTicker(c.Life / passes / pieces)
	defer timer.Stop()
	for piece := 0; ; piece = (piece + 1) % pieces {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if err := c.sweep(ctx, fmt.Sprintf("%s%03x", table.PrefixClaim, piece)); err != nil && ctx.Err() == nil {
			c.Log.Warn("deleting old claims failed; the next pass finds them", zap.Error(err))
		}
		if piece == 0 {
			_ = c.Loop.Do(ctx, c.forgetStale)
		}
	}
}

func (c *Claim) sweep(ctx context.Context, prefix string) error {
	_, local, err := c.Home(ctx, "sweep/"+prefix)
	if err != nil || !local {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, pieceTime)
	defer cancel()
	all, _, err := c.Table.List(ctx, prefix)
	if err != nil {
		return err
	}
	for _, row := range all {
		if c.over(ctx, row) {
			// A conflict means that the key was claimed anew meanwhile; what is lost by an outage is found by the next pass.
			go func() { _, _ = c.Gather.Write(c.Ctx, rows.Row{Key: row.Key, Rev: row.Rev, Gone: true}) }()
		}
	}
	return nil
}

// over reports whether a claim's life has ended. An open one lasts as long as the node that holds it.
func (c *Claim) over(ctx context.Context, row rows.Row) bool {
	held, err := decode(row.Value)
	if err != nil || time.Since(held.At) < c.Life {
		return false
	}
	return held.Ended || !c.alive(ctx, held.Session)
}

// forgetStale drops what this keeper knows of claims that ended through another one. It must be called on the control
// goroutine.
func (c *Claim) forgetStale() {
	for key, w := range c.waits {
		if time.Since(w.since) > staleWait {
			c.wake(key)
		}
	}
}
