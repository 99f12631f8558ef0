package wire

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/frame"
	"damaskreach/internal/strm"
)

// chunk is the number of bytes written under one deadline.
const chunk = 64 << 10

// write queues a frame. Data frames with a message wait until the queue has room; all others are queued at once, as
// the reader must never wait and their number is bounded by what the peer sends.
func (c *Conn) write(ctx context.Context, f frame.Frame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.Kind == frame.Data && len(f.Body) > 0 {
		if err := c.await(ctx); err != nil {
			return err
		}
	}
	if f.Kind == frame.Reset && c.withdraw(f.Stream) {
		return strm.ErrWithdrawn
	}
	return c.append(f)
}

// withdraw makes the Open frame of a stream that is still in the queue one that the peer ignores. It needs the lock.
//
// Without it a request given up while the socket takes no bytes would still reach the peer later, and its caller
// would have to be told that it may have run.
func (c *Conn) withdraw(id uint64) bool {
	e, ok := c.streams[id]
	return ok && e.mine && c.err == nil && c.out.withdraw(e.start)
}

// append queues a frame. It needs the lock.
func (c *Conn) append(f frame.Frame) error {
	if c.err != nil {
		return c.err
	}
	c.out.add(f)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// await returns when the queue has room. It needs the lock and gives it up while it waits.
func (c *Conn) await(ctx context.Context) error {
	for c.err == nil && len(c.out.pending) >= c.bounds.Queue {
		room := c.out.wait()
		c.mu.Unlock()
		var err error
		select {
		case <-room:
		case <-c.ending:
		case <-ctx.Done():
			err = merry.Prependf(context.Cause(ctx), "waiting to write to node %s", c.peer.ID)
		}
		c.mu.Lock()
		if err != nil {
			return err
		}
	}
	return nil
}

// writeAll writes the queue until the connection ends, and then ends the streams. Where nothing else was written for the
// interval it sends a ping: any byte tells the peer that this side is there.
func (c *Conn) writeAll() {
	timer := time.NewTimer(c.bounds.Interval)
	defer timer.Stop()
	defer c.finish()
	for {
		select {
		case <-c.wake:
		case <-timer.C:
			// The connection may have ended; the next turn sees that.
			_ = c.write(c.ctx, frame.Frame{Kind: frame.Ping})
		case <-c.ending:
			return
		}
		if err := c.flush(); err != nil {
			c.fail(merry.Prependf(err, "writing to node %s", c.peer.ID))
			return
		}
		timer.Reset(c.bounds.Interval)
	}
}

// flush writes what is queued.
func (c *Conn) flush() error {
	c.mu.Lock()
	batch := c.out.take()
	c.mu.Unlock()
	err := c.writeBatch(batch)
	c.mu.Lock()
	c.out.recycle(batch)
	c.mu.Unlock()
	return err
}

// writeBatch writes in chunks, each with a deadline: a peer that takes no byte for the timeout cannot be reached.
func (c *Conn) writeBatch(batch []byte) error {
	for len(batch) > 0 {
		if err := c.nc.SetWriteDeadline(time.Now().Add(c.bounds.Timeout)); err != nil {
			return err
		}
		n, err := c.nc.Write(batch[:min(chunk, len(batch))])
		c.mu.Lock()
		c.out.written += int64(n)
		c.mu.Unlock()
		if err != nil {
			return err
		}
		batch = batch[n:]
	}
	return nil
}
