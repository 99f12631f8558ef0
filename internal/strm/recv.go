package strm

import (
	"context"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"damaskreach/internal/frame"
)

// Recv reads the next message into v, a pointer. It returns io.EOF after the peer has closed its sending half, and
// messages that arrived before an error come before the error. An error of ctx ends only this call.
func (s *Stream) Recv(ctx context.Context, v any) error {
	for {
		buf, grant, err := s.next()
		if err != nil {
			return err
		}
		if buf != nil {
			s.grant(grant)
			return decodeAndPut(buf, v)
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			if err := s.canceled(ctx, "waiting for a message"); err != nil {
				return err
			}
		}
	}
}

func decodeAndPut(buf *scratch, v any) error {
	defer buf.put()
	return buf.decode(buf.buf.Bytes(), v)
}

// next returns a buffer with the next message and the credit to grant, or no buffer where none has arrived.
func (s *Stream) next() (*scratch, int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.queue.empty():
		buf := getScratch()
		return buf, s.consume(s.queue.pop(&buf.buf)), nil
	case s.reset:
		notify(s.wake)
		return nil, 0, s.err
	case s.done:
		notify(s.wake)
		return nil, 0, io.EOF
	case s.err != nil:
		notify(s.wake)
		return nil, 0, s.err
	}
	return nil, 0, nil
}

// consume counts what was read and returns what to grant: half a window at a time, so that few frames go back.
func (s *Stream) consume(cost int) int {
	s.read += cost
	if s.done || s.err != nil || s.read < s.bounds.Window/2 {
		return 0
	}
	granted := s.read
	s.due += granted
	s.read = 0
	return granted
}

func (s *Stream) grant(bytes int) {
	if bytes == 0 {
		return
	}
	// A connection that is gone reports itself through Fail; there is nobody to grant to.
	_ = Encode(func(body []byte) error {
		return s.write(s.ctx, frame.Frame{Kind: frame.Credit, Stream: s.id, Body: body})
	}, bytes)
}

// credits reads the body of a Credit frame.
func credits(body []byte) (int, error) {
	var bytes int
	err := msgpack.Unmarshal(body, &bytes)
	return bytes, err
}
