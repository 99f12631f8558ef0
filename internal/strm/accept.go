package strm

import (
	"github.com/ansel1/merry/v2"

	"damaskreach/internal/frame"
)

// ErrWindow means that the peer sent more than it was allowed to.
var ErrWindow = merry.Sentinel("stream: peer overran its window")

// Accept takes a frame of the peer; only the connection calls it. It never waits and does not keep the frame's body.
func (s *Stream) Accept(f frame.Frame) {
	switch f.Kind {
	case frame.Open, frame.Data:
		s.acceptData(f)
	case frame.Credit:
		s.acceptCredit(f.Body)
	case frame.Reset:
		s.Fail(decodeFault(f.Body))
	}
}

func (s *Stream) acceptData(f frame.Frame) {
	taken := 0
	if f.Kind == frame.Data {
		taken = cost(f.Body)
	}
	s.mu.Lock()
	if s.err != nil || s.done {
		s.mu.Unlock()
		return
	}
	// Without this check a peer with a fault in its accounting could fill this process's memory.
	overrun := s.due <= 0 && len(f.Body) > 0
	if !overrun {
		s.due -= taken
		s.store(f, taken)
	}
	s.mu.Unlock()
	if overrun {
		s.Reset(ErrWindow)
		return
	}
	s.finish()
}

// store queues a message and notes the end of the peer's half; an empty body is no message.
func (s *Stream) store(f frame.Frame, taken int) {
	if len(f.Body) > 0 {
		s.queue.push(f.Body, taken)
	}
	s.done = f.Flags&frame.Last != 0
	notify(s.wake)
}

func (s *Stream) acceptCredit(body []byte) {
	bytes, err := credits(body)
	if err != nil || bytes < 0 {
		s.Reset(merry.Errorf("stream: unreadable credit %x", body))
		return
	}
	s.mu.Lock()
	s.credit += bytes
	s.mu.Unlock()
	notify(s.room)
}
