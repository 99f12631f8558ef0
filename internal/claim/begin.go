package claim

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/answer"
	"damaskreach/internal/loop"
	"damaskreach/internal/rows"
	"damaskreach/internal/table"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// errUnseen means that a claim which may have been written is not there, at least not yet.
var errUnseen = merry.New("claim: no row of the key is seen")

func isRefusal(err error) bool {
	var r *refuse.Refusal
	return errors.As(err, &r)
}

// begin inserts a claim, as its keeper. Of many requests with one key that arrive together only one writes; the others
// wait for it, so that a burst of repeats costs the table service reads rather than writes.
func (c *Claim) begin(ctx context.Context, q beginAsk) (beginSaid, error) {
	limit := time.Now().Add(waitMost)
	for {
		w, err := c.enter(ctx, q.Key)
		if err != nil {
			return beginSaid{}, err
		}
		if w.first {
			said, taken, err := c.insert(ctx, q)
			if !taken {
				return said, err
			}
		} else if err := wait(ctx, w.ended, limit); err != nil {
			return beginSaid{}, err
		}
		said, again, err := c.present(ctx, q, limit)
		if !again {
			return said, err
		}
	}
}

// insert writes the claim's row; taken means that a row with the key may exist, of this or another request.
func (c *Claim) insert(ctx context.Context, q beginAsk) (said beginSaid, taken bool, err error) {
	rev, err := c.Gather.Write(ctx, rows.Row{Key: q.Key, Value: q.record().encode()})
	if err == nil {
		return beginSaid{Rev: rev}, false, nil
	}
	if errors.Is(err, table.ErrDown) {
		c.leave(q.Key)
		return beginSaid{}, false, err
	}
	return beginSaid{}, true, nil
}

// waiting is a claim that is open as far as this keeper knows.
type waiting struct {
	ended chan struct{} // closed when it ends through this keeper
	since time.Time
}

// entered is what a request meets at the keeper of its key.
type entered struct {
	first bool          // no other request with the key is known here
	ended chan struct{} // closed when the claim ends through this keeper
}

func (c *Claim) enter(ctx context.Context, key string) (entered, error) {
	return loop.Get(ctx, c.Loop, func() entered {
		if w, known := c.waits[key]; known {
			return entered{ended: w.ended}
		}
		c.waits[key] = waiting{ended: make(chan struct{}), since: time.Now()}
		return entered{first: true, ended: c.waits[key].ended}
	})
}

// leave wakes the requests that wait for a claim.
func (c *Claim) leave(key string) {
	_ = c.Loop.Post(func() { c.wake(key) })
}

func (c *Claim) wake(key string) {
	if w, known := c.waits[key]; known {
		close(w.ended)
		delete(c.waits, key)
	}
}

func (q beginAsk) record() record {
	return record{Print: q.Print, Nonce: q.Nonce, Session: q.Session, At: time.Now()}
}

// present decides by the row that is there; again means that there is none and the insert may be tried anew.
func (c *Claim) present(ctx context.Context, q beginAsk, limit time.Time) (said beginSaid, again bool, err error) {
	for {
		row, err := c.Table.Read(ctx, q.Key)
		if errors.Is(err, table.ErrAbsent) {
			c.leave(q.Key)
			return beginSaid{}, time.Now().Before(limit), errUnseen
		}
		if err != nil {
			return beginSaid{}, false, err
		}
		held, err := decode(row.Value)
		if err != nil {
			return beginSaid{}, false, err
		}
		said, done, err := c.judge(ctx, q, held, row)
		if done || err != nil {
			return said, false, err
		}
		w, err := c.enter(ctx, q.Key)
		if err != nil {
			return beginSaid{}, false, err
		}
		if err := wait(ctx, w.ended, limit); err != nil {
			return beginSaid{}, false, err
		}
	}
}

// judge compares a request with the claim that another one, or an earlier write of its own, holds.
func (c *Claim) judge(ctx context.Context, q beginAsk, held record, row rows.Row) (said beginSaid, done bool, err error) {
	switch {
	case held.Nonce == q.Nonce:
		return beginSaid{Rev: row.Rev}, true, nil
	case held.Print != q.Print:
		return beginSaid{}, true, refuse.NewRefusal(verd.NotRun, refuse.BadRequest, "the idempotency key was used for a different request")
	case held.Ended:
		c.leave(q.Key)
		return beginSaid{Prior: held.Answer}, true, nil
	}
	if c.alive(ctx, held.Session) {
		return beginSaid{}, false, nil
	}
	if q.Once {
		return beginSaid{Prior: lost()}, true, nil
	}
	rev, err := c.Gather.Write(ctx, rows.Row{Key: q.Key, Rev: row.Rev, Value: q.record().encode()})
	if err != nil {
		return beginSaid{}, false, nil // the next reading shows who holds it now
	}
	return beginSaid{Rev: rev}, true, nil
}

// lost is the outcome of a non-idempotent request whose entry node is gone: nobody knows more, and trying it again could
// run it twice.
func lost() *answer.Answer {
	a := answer.NewRefused(refuse.NewRefusal(verd.MayHaveRun, refuse.Repeat,
		"the node that served the first request with this idempotency key is gone and its outcome is unknown"))
	return &a
}

// alive reports whether the entry node that holds a claim may still act. Its session row is asked, not this node's view,
// which may not have a new session yet; a table that cannot be read proves nothing.
func (c *Claim) alive(ctx context.Context, session string) bool {
	_, err := c.Table.Read(ctx, session)
	return !errors.Is(err, table.ErrAbsent)
}

// wait returns when a claim may have ended, or with a refusal once the request has waited long enough.
func wait(ctx context.Context, ended chan struct{}, limit time.Time) error {
	if !time.Now().Before(limit) {
		return refuse.NewRefusal(verd.MayHaveRun, refuse.Repeat, "the first request with this idempotency key is still in progress").WithRetry(retryRepeat)
	}
	select {
	case <-ended:
		return nil
	case <-time.After(waitLook):
		return nil
	case <-ctx.Done():
		return refuse.NewRefusal(verd.MayHaveRun, refuse.Repeat, "the first request with this idempotency key had not ended in time").WithRetry(retryRepeat)
	}
}
