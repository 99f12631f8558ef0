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
	if f.Stream <= c.last || f.Stream%step == c.next%step {
		return merry.Appendf(ErrProtocol, "node %s opened stream %d after %d", c.peer.ID, f.Stream, c.last)
	}
	c.last = f.Stream
	var method string
	question, err := strm.Decode(f.Body, &method)
	if err != nil {
		return merry.Appendf(ErrProtocol, "node %s: reading a method: %v", c.peer.ID, err)
	}
	s := c.newStream(c.ctx, f.Stream, false)
	if !c.admit(f.Stream, s) {
		s.Reset(refuse.NewRefusal(verd.NotRun, refuse.Overloaded, "more than %d streams on one connection", c.bounds.Streams))
		return nil
	}
	f.Body = question
	s.Accept(f)
	c.running.Go(func() { c.handle(s, method) })
	return nil
}

// admit registers a stream of the peer unless there are too many.
func (c *Conn) admit(id uint64, s *strm.Stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || c.open >= c.bounds.Streams {
		return false
	}
	c.open++
	c.streams[id] = entry{stream: s}
	return true
}

// handle runs a handler and ends its stream.
func (c *Conn) handle(s *strm.Stream, method string) {
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
