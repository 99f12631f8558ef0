package wire

import (
	"time"

	"damaskreach/internal/frame"
	"damaskreach/internal/strm"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// errLeaving ends the streams and is the cause of the contexts of handlers of a connection that is closed here.
var errLeaving = refuse.NewRefusal(verd.MayHaveRun, refuse.Leaving, "this node is closing the connection")

// Close ends the connection and its streams. Contexts of handlers end at once and what they return within the grace
// period still reaches the peer, so that it learns the true verdict of each stream. It returns when the connection has ended.
func (c *Conn) Close() {
	for _, s := range c.leave() {
		s.Reset(errLeaving)
	}
	c.cancel(errLeaving)
	returned := c.awaitHandlers()
	c.mu.Lock()
	c.awaitsPeer = returned && c.err == nil
	c.end(ErrClosed)
	c.mu.Unlock()
	<-c.ended
}

// leave takes no more streams, tells the peer the newest one that was taken and returns those opened here.
//
// Without it a stream opened while the connection is being closed would be lost unread in the socket's buffer, and
// its opener would have to report may-have-run for what did not run.
func (c *Conn) leave() []*strm.Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.saidBye {
		return nil
	}
	c.draining = true
	c.saidBye = true
	// A connection that has ended cannot say goodbye.
	_ = c.append(frame.Frame{Kind: frame.Bye, Stream: c.last})
	return c.openedAfter(0)
}

// openedAfter returns the streams opened at this side with an id over last. It needs the lock.
func (c *Conn) openedAfter(last uint64) []*strm.Stream {
	var streams []*strm.Stream
	for id, e := range c.streams {
		if e.mine && id > last {
			streams = append(streams, e.stream)
		}
	}
	return streams
}

// released handles the peer's Bye: streams opened after the newest one it took did not run.
func (c *Conn) released(last uint64) {
	c.mu.Lock()
	c.draining = true
	c.retired = true
	refused := c.openedAfter(last)
	select {
	case <-c.peerBye: // it said so before
	default:
		close(c.peerBye)
	}
	c.endIdle()
	c.mu.Unlock()
	for _, s := range refused {
		s.Fail(refuse.NewRefusal(verd.NotRun, refuse.Leaving, "node %s is closing the connection", c.peer.ID))
	}
}

// awaitHandlers waits for the handlers to return, for the grace period at most, and reports whether they have.
func (c *Conn) awaitHandlers() bool {
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		c.running.Wait()
	}()
	timer := time.NewTimer(c.bounds.Grace)
	defer timer.Stop()
	select {
	case <-returned:
		return true
	case <-timer.C:
	case <-c.ending:
	}
	return false
}

// linger waits until the peer has closed its side, for the grace period at most.
//
// A socket that is closed with bytes unread resets the connection, and the peer then may lose the last answers and
// the Bye that are still on their way to it: its callers would be told may-have-run for what was answered.
func (c *Conn) linger() {
	c.mu.Lock()
	polite := c.awaitsPeer
	c.mu.Unlock()
	if !polite {
		return
	}
	timer := time.NewTimer(c.bounds.Grace)
	defer timer.Stop()
	select {
	case <-c.readerDone:
	case <-c.peerBye:
	case <-timer.C:
	}
}
