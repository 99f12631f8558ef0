package claim

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/rows"
	"damaskreach/internal/table"
)

const (
	endTries  = 10
	firstWait = 100 * time.Millisecond // before the second try; doubles
)

// finish ends a claim, through its keeper where that can be reached. It tries for a while, since a claim that is never
// ended makes every repeat be told that the outcome is unknown.
func (c *Claim) finish(q endAsk) {
	if a := q.Answer; a != nil && len(a.Body) > mostBody {
		short := a.WithoutBody()
		q.Answer = &short
	}
	pause := firstWait
	for range endTries {
		err := c.askEnd(c.Ctx, q)
		if err == nil {
			return
		}
		c.Log.Warn("ending a claim failed", zap.String("key", q.Key), zap.Error(err))
		select {
		case <-c.Ctx.Done():
			return
		case <-time.After(pause):
		}
		pause *= 2
	}
}

func (c *Claim) askEnd(ctx context.Context, q endAsk) error {
	at, local, err := c.keeper(ctx, q.Key)
	if err != nil {
		return err
	}
	if !local {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		err = c.Mesh.Ask(ctx, at.Peer, methodEnd, q, &endSaid{})
	}
	if local || err != nil {
		return c.end(ctx, q)
	}
	return nil
}

// end writes the outcome into the claim's row, or deletes the row, as its keeper.
func (c *Claim) end(ctx context.Context, q endAsk) error {
	row := rows.Row{Key: q.Key, Rev: q.Rev}
	if q.Rev == 0 {
		found, own, err := c.find(ctx, q)
		if err != nil {
			return err
		}
		if !own {
			return errUnseen
		}
		row.Rev = found.Rev
	}
	if q.Answer == nil {
		row = row.WithGone()
	} else {
		row = row.WithValue(record{Print: q.Print, Nonce: q.Nonce, Ended: true, At: time.Now(), Answer: q.Answer}.encode())
	}
	_, err := c.Gather.Write(ctx, row)
	if err != nil {
		err = c.settleEnd(ctx, q, err)
	}
	if err == nil {
		c.leave(q.Key)
	}
	return err
}

// find returns the row of a claim and whether it is the asker's own and not ended.
func (c *Claim) find(ctx context.Context, q endAsk) (rows.Row, bool, error) {
	row, err := c.Table.Read(ctx, q.Key)
	if errors.Is(err, table.ErrAbsent) {
		return rows.Row{}, false, nil
	}
	if err != nil {
		return rows.Row{}, false, err
	}
	held, err := decode(row.Value)
	return row, err == nil && held.Nonce == q.Nonce && !held.Ended, err
}

// settleEnd finds out whether a write took effect whose answer was lost.
func (c *Claim) settleEnd(ctx context.Context, q endAsk, cause error) error {
	if errors.Is(cause, table.ErrDown) {
		return cause
	}
	_, open, err := c.find(ctx, q)
	if err != nil || open {
		return cause
	}
	return nil
}
