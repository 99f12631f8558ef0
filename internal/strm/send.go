package strm

import (
	"context"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/frame"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// ErrClosed means that this side has closed its sending half.
var ErrClosed = merry.Sentinel("stream: sending half is closed")

// Send sends one message; it waits while the peer has a window of messages unread.
// It returns when the message is queued. An error of ctx ends only this call.
func (s *Stream) Send(ctx context.Context, v any) error {
	return s.send(ctx, v, 0)
}

// SendLast sends one message and closes the sending half.
func (s *Stream) SendLast(ctx context.Context, v any) error {
	return s.send(ctx, v, frame.Last)
}

func (s *Stream) send(ctx context.Context, v any, flags uint8) error {
	buf := getScratch()
	defer buf.put()
	if err := buf.encode(v); err != nil {
		return err
	}
	body := buf.buf.Bytes()
	if len(body) > s.bounds.Frame {
		return tooLarge(len(body), s.bounds.Frame)
	}
	if err := s.reserve(ctx, cost(body)); err != nil {
		return err
	}
	if err := s.write(ctx, frame.Frame{Kind: frame.Data, Flags: flags, Stream: s.id, Body: body}); err != nil {
		s.refund(cost(body))
		return err
	}
	if flags&frame.Last != 0 {
		s.closed()
	}
	return nil
}

// reserve takes cost bytes of the credit, once there is any. The last message may overdraw it, so that a message
// larger than the window can be sent.
func (s *Stream) reserve(ctx context.Context, cost int) error {
	for {
		ready, err := s.tryReserve(cost)
		if ready || err != nil {
			return err
		}
		select {
		case <-s.room:
		case <-ctx.Done():
			if err := s.canceled(ctx, "waiting for the window"); err != nil {
				return err
			}
		}
	}
}

func (s *Stream) tryReserve(cost int) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.unsendable(); err != nil {
		notify(s.room)
		return false, err
	}
	if s.credit <= 0 {
		return false, nil
	}
	s.credit -= cost
	if s.credit > 0 {
		notify(s.room)
	}
	return true, nil
}

// unsendable returns why no more messages can be sent. It needs the lock.
func (s *Stream) unsendable() error {
	if s.err != nil {
		return s.err
	}
	if s.sent {
		return ErrClosed
	}
	return nil
}

// refund gives back the credit of a message that was not queued.
func (s *Stream) refund(cost int) {
	s.mu.Lock()
	s.credit += cost
	s.mu.Unlock()
	notify(s.room)
}

// CloseSend tells the peer that no more messages follow; its Recv then returns io.EOF. Closing again does nothing.
func (s *Stream) CloseSend() error {
	s.mu.Lock()
	err := s.unsendable()
	s.mu.Unlock()
	if err == ErrClosed {
		return nil
	}
	if err != nil {
		return err
	}
	if err := s.write(s.ctx, frame.Frame{Kind: frame.Data, Flags: frame.Last, Stream: s.id}); err != nil {
		return err
	}
	s.closed()
	return nil
}

// closed notes that the last frame of this side is queued.
func (s *Stream) closed() {
	s.mu.Lock()
	s.sent = true
	s.mu.Unlock()
	notify(s.room)
	s.finish()
}

// cost is what a message takes of the window; empty ones count too, or any number of them could be held.
func cost(body []byte) int {
	return len(body) + frame.Overhead
}

func tooLarge(size, limit int) error {
	return refuse.NewRefusal(verd.MayHaveRun, refuse.TooLarge, "message of %d bytes, %d allowed", size, limit)
}
