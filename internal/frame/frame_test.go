package frame_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"

	"damaskreach/internal/frame"
)

const limit = 1 << 10

func read(data []byte) (frame.Frame, error) {
	return frame.Read(bufio.NewReader(bytes.NewReader(data)), limit)
}

func TestReadReturnsWhatWasAppended(t *testing.T) {
	want := frame.Frame{Kind: frame.Data, Flags: frame.Last, Stream: 1<<63 + 7, Body: []byte("body")}
	got, err := read(frame.Append(nil, want))
	if err != nil {
		t.Fatalf("Read: got %v, want nil", err)
	}
	if got.Kind != want.Kind || got.Flags != want.Flags || got.Stream != want.Stream || !bytes.Equal(got.Body, want.Body) {
		t.Errorf("Read: got %+v, want %+v", got, want)
	}
}

// A peer with a fault, or something that is no node at all, announces a frame of gigabytes. Reading it would take
// the memory of every other request of the process; the connection has to end instead.
func TestReadRefusesFramesOverTheBound(t *testing.T) {
	whole := frame.Append(nil, frame.Frame{Kind: frame.Data, Body: make([]byte, limit+1)})
	if _, err := read(whole); !errors.Is(err, frame.ErrLarge) {
		t.Errorf("Read of %d bytes: got %v, want ErrLarge", limit+1, err)
	}
	if _, err := read([]byte("GET / HTTP/1.1\r\n\r\n")); !errors.Is(err, frame.ErrLarge) {
		t.Errorf("Read of HTTP: got %v, want ErrLarge", err)
	}
	if _, err := read([]byte{0, 0, 0, 9, 1, 0}); !errors.Is(err, frame.ErrShort) {
		t.Errorf("Read of a short frame: got %v, want ErrShort", err)
	}
	if _, err := read(frame.Append(nil, frame.Frame{Body: make([]byte, limit)})); err != nil {
		t.Errorf("Read of %d bytes: got %v, want nil", limit, err)
	}
}

// A connection is cut in the middle of a frame. The half that arrived must not pass for a frame, and the reader must
// be able to tell it from a connection that was closed between two frames.
func TestReadTellsCutsFromTheEnd(t *testing.T) {
	whole := frame.Append(nil, frame.Frame{Kind: frame.Data, Body: []byte("body")})
	for n := range whole {
		want := io.ErrUnexpectedEOF
		if n == 0 {
			want = io.EOF
		}
		if _, err := read(whole[:n]); err != want {
			t.Errorf("Read of %d of %d bytes: got %v, want %v", n, len(whole), err, want)
		}
	}
}

// Whatever bytes arrive, the decoder either refuses them or returns a frame that encodes to those very bytes.
func FuzzRead(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add(frame.Append(nil, frame.Frame{Kind: frame.Open, Flags: frame.Last, Stream: 3, Body: []byte("body")}))
	f.Add(frame.Append(nil, frame.Frame{Kind: 255, Flags: 255})[:9])
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := read(data)
		if err != nil {
			return
		}
		if len(got.Body) > limit {
			t.Fatalf("body of %d bytes, want at most %d", len(got.Body), limit)
		}
		again := frame.Append(nil, got)
		if !bytes.HasPrefix(data, again) {
			t.Errorf("Append(Read(%x)): got %x", data, again)
		}
	})
}
