package strm

import (
	"damaskreach/internal/frame"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// errOver is the cause of the context of a stream that ended as it should.
var errOver = refuse.NewRefusal(verd.Ran, refuse.Canceled, "stream is over")

// Reset ends the stream at once at both sides. The peer's Recv returns err: a *refuse.Refusal arrives whole, another
// error as one with its text and verdict. A nil err means canceled. Resetting a stream that is over does nothing.
func (s *Stream) Reset(err error) {
	if err == nil {
		err = refuse.NewRefusal(verd.MayHaveRun, refuse.Canceled, "stream reset")
	}
	s.mu.Lock()
	if s.err != nil || s.over {
		s.mu.Unlock()
		return
	}
	s.err = err
	s.reset = true
	s.queue.clear()
	s.mu.Unlock()
	// A connection that is gone has ended the peer's side already.
	_ = s.write(s.ctx, frame.Frame{Kind: frame.Reset, Stream: s.id, Body: encodeFault(err)})
	s.finish()
}

// Fail ends the stream at this side, because its connection or its peer ended it; only the connection calls it.
func (s *Stream) Fail(err error) {
	s.mu.Lock()
	if s.err == nil {
		s.err = err
	}
	s.mu.Unlock()
	s.finish()
}

// finish forgets the stream once neither side will write on it.
func (s *Stream) finish() {
	s.mu.Lock()
	first := !s.over && (s.err != nil || s.sent && s.done)
	s.over = s.over || first
	cause := s.err
	s.mu.Unlock()
	if !first {
		return
	}
	if cause == nil {
		cause = errOver
	}
	notify(s.wake)
	notify(s.room)
	s.unhook()
	s.drop()
	s.cancel(cause)
}
