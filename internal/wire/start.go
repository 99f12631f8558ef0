package wire

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/bounds"
	"damaskreach/internal/hello"
	"damaskreach/internal/strm"
)

// Stream ids: the dialler's are odd and the acceptor's even, and both only grow, so none is ever used twice.
const (
	firstDialled  = 1
	firstAccepted = 2
	step          = 2
)

// handshake is hello.Dial or hello.Accept.
type handshake = func(r *bufio.Reader, w io.Writer, self hello.Hello, secrets [][]byte) (hello.Hello, int, error)

// Dial makes a connection of a socket that was dialled; it closes nc when the handshake fails.
// Streams that the peer opens are given to serve, each on a goroutine of its own; without serve they are refused.
func Dial(
	ctx context.Context, nc net.Conn, self hello.Hello, secrets [][]byte, b bounds.Bounds,
	serve func(s *strm.Stream, method string) error,
) (*Conn, error) {
	c := newConn(nc, b, serve, firstDialled)
	if err := c.start(ctx, hello.Dial, self, secrets); err != nil {
		return nil, err
	}
	return c, nil
}

// Accept makes a connection of a socket that a listener accepted; see Dial.
func Accept(
	ctx context.Context, nc net.Conn, self hello.Hello, secrets [][]byte, b bounds.Bounds,
	serve func(s *strm.Stream, method string) error,
) (*Conn, error) {
	c := newConn(nc, b, serve, firstAccepted)
	if err := c.start(ctx, hello.Accept, self, secrets); err != nil {
		return nil, err
	}
	return c, nil
}

func newConn(nc net.Conn, b bounds.Bounds, serve func(s *strm.Stream, method string) error, first uint64) *Conn {
	p := &timedReader{nc: nc}
	return &Conn{
		nc:         nc,
		timed:      p,
		r:          bufio.NewReaderSize(p, sizeIdle),
		bounds:     b,
		serve:      serve,
		wake:       make(chan struct{}, 1),
		ending:     make(chan struct{}),
		peerBye:    make(chan struct{}),
		readerDone: make(chan struct{}),
		ended:      make(chan struct{}),
		next:       first,
		parity:     first % step,
		streams:    make(map[uint64]entry),
	}
}

// start does the handshake and starts the reader and the writer.
func (c *Conn) start(ctx context.Context, shake handshake, self hello.Hello, secrets [][]byte) error {
	if err := c.shake(ctx, shake, self.WithSizes(c.bounds.Frame, c.bounds.Window), secrets); err != nil {
		c.nc.Close()
		return err
	}
	limit := c.bounds.Frame
	c.bounds = c.bounds.WithPeer(c.peer.Window, c.peer.Frame)
	c.timed.timeout = c.bounds.Timeout
	c.ctx, c.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
	c.unhook = context.AfterFunc(ctx, c.Close)
	go c.readAll(limit)
	go c.writeAll()
	return nil
}

// shake bounds the time of the handshake: without a deadline a peer that connects and stays silent would hold a
// socket and a goroutine here for ever.
func (c *Conn) shake(ctx context.Context, shake handshake, self hello.Hello, secrets [][]byte) error {
	stop := context.AfterFunc(ctx, func() { c.nc.Close() })
	defer stop()
	if err := c.nc.SetDeadline(time.Now().Add(c.bounds.Handshake)); err != nil {
		return merry.Prepend(err, "setting the handshake's deadline")
	}
	var err error
	if c.peer, c.version, err = shake(c.r, c.nc, self, secrets); err != nil {
		return merry.Prependf(err, "connecting with %s", c.nc.RemoteAddr())
	}
	return merry.Prepend(c.nc.SetDeadline(time.Time{}), "clearing the handshake's deadline")
}
