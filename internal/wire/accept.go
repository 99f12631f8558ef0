package wire

import (
	"github.com/ansel1/merry/v2"

	"damaskreach/internal/frame"
	"damaskreach/internal/strm"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// errServed ends what a peer still sends on a stream whose handler has returned.
var errServed = refuse.NewRefusal(verd.Ran, refuse.Canceled, "the handler has returned")

// accept starts the handler of a stream that the peer opens.
func (c *Conn) accept(f frame.Frame) error {
	if f.Stream <= c.last || f.Stream%step == c.parity {
		return merry.Appendf(ErrProtocol, "node %s opened stream %d after %d", c.peer.ID, f.Stream, c.last)
	}
	var method string
	question, err := strm.Decode(f.Body, &method)
	if err != nil {
		return merry.Appendf(ErrProtocol, "node %s: reading a method: %v", c.peer.ID, err)
	}
	s := c.newStream(c.ctx, f.Stream, false)
	if err := c.admit(f.Stream, s); err != nil {
		s.Reset(err)
		return nil
	}
	f.Body = question
	s.Accept(f)
	go c.handle(s, method)
	return nil
}

// admit registers a stream of the peer, or returns why it is refused.
func (c *Conn) admit(id uint64, s *strm.Stream) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || c.draining {
		return refuse.NewRefusal(verd.NotRun, refuse.Leaving, "the connection is being closed")
	}
	c.last = id
	if c.open >= c.bounds.Streams {
		return refuse.NewRefusal(verd.NotRun, refuse.Overloaded, "more than %d streams on one connection", c.bounds.Streams)
	}
	c.open++
	c.streams[id] = entry{stream: s}
	c.running.Add(1)
	return nil
}

// handle runs a handler and ends its stream.
func (c *Conn) handle(s *strm.Stream, method string) {
	defer c.running.Done()
	if c.serve == nil {
		s.Reset(refuse.NewRefusal(verd.NotRun, refuse.Internal, "this side serves no streams"))
		return
	}
	if err := c.serve(s, method); err != nil {
		s.Reset(err)
		return
	}
	// An error means that the stream has ended already, and its other side knows.
	_ = s.CloseSend()
	s.Reset(errServed)
}
