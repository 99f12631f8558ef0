package wire_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"damaskreach/internal/bounds"
	"damaskreach/internal/frame"
	"damaskreach/internal/hello"
	"damaskreach/internal/stand/memnet"
	"damaskreach/internal/strm"
	"damaskreach/internal/wire"
)

const (
	hostA = "10.0.0.1"
	hostB = "10.0.0.2"
)

var secrets = [][]byte{[]byte("a secret of the site")}

// connect runs the handshake of nodes a and b over two ends; b serves with serve. They are closed with the test.
func connect(
	tb testing.TB, near, far net.Conn, b bounds.Bounds, serve func(s *strm.Stream, method string) error,
) (dialled, accepted *wire.Conn) {
	tb.Helper()
	made := make(chan *wire.Conn, 1)
	go func() {
		c, _ := wire.Accept(context.Background(), far, hello.NewHello("b", "1"), secrets, b, serve)
		made <- c
	}()
	dialled, err := wire.Dial(context.Background(), near, hello.NewHello("a", "1"), secrets, b, nil)
	accepted = <-made
	if err != nil || accepted == nil {
		tb.Fatalf("Dial: got %v, want nil", err)
	}
	tb.Cleanup(accepted.Close)
	tb.Cleanup(dialled.Close)
	return dialled, accepted
}

// ends returns both ends of a connection that l accepts.
func ends(tb testing.TB, l net.Listener, dial func(ctx context.Context, addr string) (net.Conn, error)) (near, far net.Conn) {
	tb.Helper()
	made := make(chan net.Conn, 1)
	go func() {
		nc, _ := l.Accept()
		made <- nc
	}()
	near, err := dial(tb.Context(), l.Addr().String())
	if err != nil {
		tb.Fatalf("dialling: got %v, want nil", err)
	}
	return near, <-made
}

// join connects nodes a and b over a network that can be cut.
func join(tb testing.TB, b bounds.Bounds, serve func(s *strm.Stream, method string) error) (*memnet.Net, *wire.Conn, *wire.Conn) {
	tb.Helper()
	n := memnet.NewNet(1)
	n.SetLatency(hostA, hostB, 0)
	l, err := n.Listen(hostB + ":1")
	if err != nil {
		tb.Fatalf("Listen: got %v, want nil", err)
	}
	defer l.Close()
	near, far := ends(tb, l, n.Dial(hostA))
	dialled, accepted := connect(tb, near, far, b, serve)
	return n, dialled, accepted
}

// byHand is a peer whose frames the test writes itself.
type byHand struct {
	nc     net.Conn
	frames chan frame.Frame // what it received
}

// dialByHand connects node a with a peer that the test plays.
func dialByHand(t *testing.T, b bounds.Bounds) (*wire.Conn, *byHand) {
	t.Helper()
	near, far := net.Pipe()
	h := &byHand{nc: far, frames: make(chan frame.Frame, 1000)}
	go h.run()
	c, err := wire.Dial(context.Background(), near, hello.NewHello("a", "1"), secrets, b, nil)
	if err != nil {
		t.Fatalf("Dial: got %v, want nil", err)
	}
	t.Cleanup(c.Close)
	return c, h
}

func (h *byHand) run() {
	defer close(h.frames)
	r := bufio.NewReader(h.nc)
	if _, _, err := hello.Accept(r, h.nc, hello.NewHello("b", "1"), secrets); err != nil {
		return
	}
	for {
		f, err := frame.Read(r, 8<<20)
		if err != nil {
			return
		}
		if f.Kind != frame.Ping {
			h.frames <- f
		}
	}
}

// send writes a frame with a msgpack value as its body.
func (h *byHand) send(t *testing.T, kind, flags uint8, stream uint64, v any) {
	t.Helper()
	body, err := msgpack.Marshal(v)
	if err != nil {
		t.Fatalf("Marshal: got %v, want nil", err)
	}
	f := frame.Frame{Kind: kind, Flags: flags, Stream: stream, Body: body}
	if _, err := h.nc.Write(frame.Append(nil, f)); err != nil {
		t.Errorf("writing a frame by hand: got %v, want nil", err)
	}
}

// wantFrame checks the next frame that arrives at the peer.
func (h *byHand) wantFrame(t *testing.T, kind uint8, stream uint64) {
	t.Helper()
	if f := <-h.frames; f.Kind != kind || f.Stream != stream {
		t.Errorf("frame: got kind %d of stream %d, want %d of %d", f.Kind, f.Stream, kind, stream)
	}
}

func open(t *testing.T, c *wire.Conn, question any) *strm.Stream {
	t.Helper()
	s, err := c.Open(t.Context(), "method", question, false)
	if err != nil {
		t.Fatalf("Open: got %v, want nil", err)
	}
	return s
}

func recv(t *testing.T, s *strm.Stream, want int) {
	t.Helper()
	var got int
	if err := s.Recv(t.Context(), &got); err != nil || got != want {
		t.Errorf("Recv: got %d, %v, want %d", got, err, want)
	}
}

// echo sends every message back.
func echo(s *strm.Stream, _ string) error {
	for {
		var v any
		err := s.Recv(s.Context(), &v)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := s.Send(s.Context(), v); err != nil {
			return err
		}
	}
}
