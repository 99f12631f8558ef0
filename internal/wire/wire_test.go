package wire_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"damaskreach/internal/bounds"
	"damaskreach/internal/frame"
	"damaskreach/internal/hello"
	"damaskreach/internal/strm"
	"damaskreach/internal/wire"
)

var secrets = [][]byte{[]byte("a secret of the site")}

// cable joins two pipes and can be cut without either side being told, as when a switch fails.
type cable struct {
	mu  sync.Mutex
	gap chan struct{} // not nil while cut; closed by mend
}

func (c *cable) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gap = make(chan struct{})
}

func (c *cable) mend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.gap)
	c.gap = nil
}

func (c *cable) wait() {
	c.mu.Lock()
	gap := c.gap
	c.mu.Unlock()
	if gap != nil {
		<-gap
	}
}

// carry copies one direction. What was read before a cut is written after it.
func (c *cable) carry(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		c.wait()
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// ends returns the two ends of a cable.
func (c *cable) ends() (net.Conn, net.Conn) {
	near, nearFar := net.Pipe()
	far, farNear := net.Pipe()
	go c.carry(nearFar, farNear)
	go c.carry(farNear, nearFar)
	return near, far
}

// join connects nodes a and b over a cable; b serves with serve. They are closed with the test.
func join(t *testing.T, c *cable, b bounds.Bounds, serve func(s *strm.Stream, method string) error) (dialled, accepted *wire.Conn) {
	t.Helper()
	near, far := c.ends()
	made := make(chan *wire.Conn, 1)
	go func() {
		conn, err := wire.Accept(context.Background(), far, hello.NewHello("b", "1"), secrets, b, serve)
		if err != nil {
			t.Errorf("Accept: got %v, want nil", err)
		}
		made <- conn
	}()
	dialled, err := wire.Dial(context.Background(), near, hello.NewHello("a", "1"), secrets, b, nil)
	accepted = <-made
	if err != nil || accepted == nil {
		t.Fatalf("Dial: got %v, want nil", err)
	}
	t.Cleanup(accepted.Close)
	t.Cleanup(dialled.Close)
	return dialled, accepted
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

// send writes a frame with msgpack values as its body.
func (h *byHand) send(t *testing.T, kind, flags uint8, stream uint64, values ...any) {
	t.Helper()
	f := frame.Frame{Kind: kind, Flags: flags, Stream: stream}
	for _, v := range values {
		body, err := msgpack.Marshal(v)
		if err != nil {
			t.Fatalf("Marshal: got %v, want nil", err)
		}
		f.Body = append(f.Body, body...)
	}
	if _, err := h.nc.Write(frame.Append(nil, f)); err != nil {
		t.Errorf("writing a frame by hand: got %v, want nil", err)
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

func recvEnd(t *testing.T, s *strm.Stream) {
	t.Helper()
	if err := s.Recv(t.Context(), new(int)); !errors.Is(err, io.EOF) {
		t.Errorf("Recv: got %v, want EOF", err)
	}
}

// echo sends every message back.
func echo(s *strm.Stream, _ string) error {
	for {
		var n int
		if err := s.Recv(s.Context(), &n); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		if err := s.Send(s.Context(), n); err != nil {
			return err
		}
	}
}
