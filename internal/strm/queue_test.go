package strm_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"damaskreach/internal/bounds"
	"damaskreach/internal/frame"
	"damaskreach/internal/strm"
)

const mostHeld = 512 << 10 // bytes of the heap that a stream with little unread may keep

// newStream returns a stream whose frames go nowhere, with a window that no test fills.
func newStream(t *testing.T) *strm.Stream {
	t.Helper()
	write := func(context.Context, frame.Frame) error { return nil }
	s := strm.NewStream(t.Context(), 1, "b", bounds.NewBounds().WithWindow(1<<30), false, write, func() {})
	t.Cleanup(func() { s.Reset(nil) })
	return s
}

// accept hands the stream a message, and spoils the memory it was in, as the connection's next frame would.
func accept(t *testing.T, s *strm.Stream, v any) {
	t.Helper()
	body, err := msgpack.Marshal(v)
	if err != nil {
		t.Fatalf("Marshal: got %v, want nil", err)
	}
	s.Accept(frame.Frame{Kind: frame.Data, Stream: 1, Body: body})
	clear(body)
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// A caller is always a little behind its stream, so that its queue is never empty. The memory of the queue must not
// grow with the length of the answer, or a node with many long answers would be killed for its memory.
func TestLaggingReaderHoldsNoMore(t *testing.T) {
	s := newStream(t)
	accept(t, s, 0)
	before := heap()
	for i := range 200_000 {
		accept(t, s, i+1)
		var got int
		if err := s.Recv(t.Context(), &got); err != nil || got != i {
			t.Fatalf("Recv: got %d, %v, want %d", got, err, i)
		}
	}
	if after := heap(); after > before+mostHeld {
		t.Errorf("heap grew by %d bytes, want at most %d", after-before, mostHeld)
	}
}

// Bursts of messages of all sizes arrive while a caller reads now and then. Each must arrive whole and in its order,
// though the stream keeps them in memory that is used again.
func TestMessagesStayWholeAndInOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	s := newStream(t)
	var waiting [][]byte
	for i := range 20_000 {
		if random.IntN(100) < 52 || len(waiting) == 0 {
			message := bytes.Repeat([]byte{byte(i)}, 1<<random.IntN(14))
			accept(t, s, message)
			waiting = append(waiting, message)
			continue
		}
		var got []byte
		if err := s.Recv(t.Context(), &got); err != nil || !bytes.Equal(got, waiting[0]) {
			t.Fatalf("Recv %d: got %d bytes, %v, want %d", i, len(got), err, len(waiting[0]))
		}
		waiting = waiting[1:]
	}
}
