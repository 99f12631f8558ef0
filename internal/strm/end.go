package strm

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/frame"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// errOver is the cause of the context of a stream that ended as it should.
var errOver = refuse.NewRefusal(verd.Ran, refuse.Canceled, "stream is over")

// ErrWithdrawn means that a stream was reset before its Open frame left this process.
var ErrWithdrawn = merry.Sentinel("stream: withdrawn before it was opened")

// Reset ends the stream at once at both sides. The peer's Recv returns err: a *refuse.Refusal arrives whole, another
// error as one with its text and verdict. A nil err means canceled. Resetting a stream that is over does nothing.
//
// This side's Recv and Send return err too, marked not-run where the peer never heard of the stream.
func (s *Stream) Reset(err error) {
	if err == nil {
		err = refuse.NewRefusal(verd.MayHaveRun, refuse.Canceled, "stream reset")
	}
	if !s.begin() {
		return
	}
	failed := s.write(s.ctx, frame.Frame{Kind: frame.Reset, Stream: s.id, Body: encodeFault(err)})
	switch {
	case errors.Is(failed, ErrWithdrawn):
		err = verd.Mark(err, verd.NotRun)
	case failed != nil:
		// The connection has ended. It alone knows whether the Open frame left, so its Fail sets the error.
		return
	}
	s.mu.Lock()
	if s.err == nil {
		s.err = err
		s.reset = true
		s.queue.clear()
	}
	s.mu.Unlock()
	s.finish()
}

// begin reports whether the stream may be reset now.
func (s *Stream) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil || s.over || s.ending {
		return false
	}
	s.ending = true
	return true
}

// canceled returns the error of a call whose ctx has ended while it waited. Where the stream follows a context that
// has ended as well, it returns the stream's own error, which knows the verdict, or nil after a clean end.
func (s *Stream) canceled(ctx context.Context, waiting string) error {
	s.mu.Lock()
	opener := s.opener
	s.mu.Unlock()
	if opener == nil || opener.Err() == nil {
		return merry.Prependf(context.Cause(ctx), "%s of node %s", waiting, s.peer)
	}
	s.Reset(context.Cause(opener))
	<-s.ctx.Done()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
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
	unhook := s.unhook
	s.mu.Unlock()
	if !first {
		return
	}
	if cause == nil {
		cause = errOver
	}
	notify(s.wake)
	notify(s.room)
	if unhook != nil {
		unhook()
	}
	s.drop()
	s.cancel(cause)
}
