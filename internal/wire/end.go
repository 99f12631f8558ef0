package wire

import (
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/frame"
	"damaskreach/internal/strm"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// errLeaving is the cause of the contexts of handlers whose connection is closed at this side.
var errLeaving = refuse.NewRefusal(verd.MayHaveRun, refuse.Leaving, "this node is closing the connection")

// Close ends the connection and its streams. Contexts of handlers end at once and what they return within the grace
// period still reaches the peer, so that it learns the true verdict of each stream.
func (c *Conn) Close() {
	c.leave()
	c.cancel(errLeaving)
	c.awaitHandlers()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end(ErrClosed)
}

// leave takes no more streams and tells the peer the newest one that was taken.
//
// Without it a stream opened while the connection is being closed would be lost unread in the socket's buffer, and
// its opener would have to report may-have-run for what did not run.
func (c *Conn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bye {
		return
	}
	c.away = true
	c.bye = true
	// A connection that has ended cannot say goodbye.
	_ = c.append(frame.Frame{Kind: frame.Bye, Stream: c.last})
}

// released handles the peer's Bye: streams opened after the newest one it took did not run.
func (c *Conn) released(last uint64) {
	c.mu.Lock()
	c.away = true
	c.retired = true
	var refused []*strm.Stream
	for id, e := range c.streams {
		if e.mine && id > last {
			refused = append(refused, e.stream)
		}
	}
	c.endIdle()
	c.mu.Unlock()
	for _, s := range refused {
		s.Fail(refuse.NewRefusal(verd.NotRun, refuse.Leaving, "node %s is closing the connection", c.peer.ID))
	}
}

// awaitHandlers waits for the handlers to return, for the grace period at most.
func (c *Conn) awaitHandlers() {
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		c.running.Wait()
	}()
	timer := time.NewTimer(c.bounds.Grace)
	defer timer.Stop()
	select {
	case <-returned:
	case <-timer.C:
	case <-c.ending:
	}
}

// fail ends the connection at once.
func (c *Conn) fail(err error) {
	c.mu.Lock()
	c.end(err)
	c.mu.Unlock()
	c.nc.Close()
}

// end notes why the connection ends; the first reason counts. It needs the lock.
func (c *Conn) end(err error) {
	if c.err != nil {
		return
	}
	c.err = err
	close(c.ending)
}

// settle runs when nothing more will be written, so that it is known which Open frames left this process.
func (c *Conn) settle() {
	// After a failed write the socket is of no use and this fails too.
	_ = c.flush()
	c.nc.Close()
	c.mu.Lock()
	streams := c.streams
	written := c.written
	c.streams = nil
	err := c.err
	c.mu.Unlock()
	for _, e := range streams {
		if e.mine {
			e.unhook()
		}
		e.stream.Fail(verd.Mark(merry.Prependf(err, "connection with node %s ended", c.peer.ID), e.verdict(written)))
	}
	c.cancel(err)
	close(c.ended)
}

// verdict tells whether the peer may have seen the stream's Open frame.
func (e entry) verdict(written int64) verd.Verdict {
	if e.mine && written <= e.start {
		return verd.NotRun
	}
	return verd.MayHaveRun
}

// Wait returns when the handlers of the peer's streams have returned, after Done.
func (c *Conn) Wait() {
	<-c.ended
	c.running.Wait()
}
