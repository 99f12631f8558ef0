// Package strm is one stream of messages between two nodes, one of many on a connection.
//
// Each direction has its own window: a sender may have so many bytes unread at the other side, then Send waits.
// A reader that does not read stops its own stream this way and no other of the connection.
package strm

import (
	"context"
	"sync"

	"damaskreach/internal/bounds"
	"damaskreach/internal/frame"
)

// Stream is a sequence of messages in each direction. Its methods may be called from several goroutines.
//
// A stream lives until both sides have closed their sending half, until one side resets it, until the context it
// was opened with ends, or until its connection ends. Whoever opens a stream and does not read it to its end has to
// end that context or call Reset, or the other side goes on working.
type Stream struct {
	id     uint64
	peer   string
	bounds bounds.Bounds
	write  func(ctx context.Context, f frame.Frame) error
	drop   func()
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu     sync.Mutex
	opener context.Context // that it was opened with; nil where the peer opened it
	unhook func() bool     // detaches it from opener
	queue  queue
	credit int           // bytes this side may still send
	due    int           // bytes the peer may still send
	read   int           // bytes read since the last grant
	sent   bool          // this side has closed its sending half
	done   bool          // the peer has closed its sending half
	ending bool          // this side is resetting the stream
	reset  bool          // this side has reset the stream
	over   bool          // the connection has forgotten the stream
	err    error         // why the stream ended before its time
	wake   chan struct{} // signals Recv
	room   chan struct{} // signals Send
}

// NewStream returns a stream that writes its frames with write and calls drop once when it is over.
// With closed set this side's sending half is closed from the start.
// The function write may wait for room with Data frames only. For the Reset of a stream whose Open frame has not left
// this process it withdraws that and returns ErrWithdrawn. The connection hands over the peer's frames by Accept and
// its own end by Fail, which it must call for every stream that it has not been told to drop.
func NewStream(
	ctx context.Context, id uint64, peer string, b bounds.Bounds, closed bool,
	write func(ctx context.Context, f frame.Frame) error, drop func(),
) *Stream {
	s := &Stream{
		id:     id,
		peer:   peer,
		bounds: b,
		write:  write,
		drop:   drop,
		sent:   closed,
		credit: b.Credit,
		due:    b.Window,
		wake:   make(chan struct{}, 1),
		room:   make(chan struct{}, 1),
	}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	return s
}

// Follow resets the stream when ctx ends; only the connection calls it, once, on a stream opened at this side.
func (s *Stream) Follow(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opener = ctx
	s.unhook = context.AfterFunc(ctx, func() { s.Reset(context.Cause(ctx)) })
}

// Peer returns the id of the node at the other side.
func (s *Stream) Peer() string {
	return s.peer
}

// Context ends when the stream does; its cause says why.
func (s *Stream) Context() context.Context {
	return s.ctx
}

// notify wakes one waiter of a channel with room for one signal.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
