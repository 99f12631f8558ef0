// Package wire is one connection between two nodes that carries many streams.
//
// Frames of all streams share one socket. Senders append encoded frames to a queue; one goroutine writes the queue,
// as many frames as there are in one write, and another reads and hands each frame to its stream. The reader never
// waits for a stream, a handler or the writer, so a connection cannot block itself.
package wire

import (
	"bufio"
	"context"
	"net"
	"sync"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/bounds"
	"damaskreach/internal/hello"
	"damaskreach/internal/strm"
)

var (
	// ErrClosed means that this side closed the connection.
	ErrClosed = merry.Sentinel("connection: closed")
	// ErrAway means that the connection takes no more streams, as one side is about to close it.
	ErrAway = merry.Sentinel("connection: takes no more streams")
	// ErrProtocol means that the peer sent a frame that it must not send.
	ErrProtocol = merry.Sentinel("connection: protocol violation")
)

// Conn is one connection. It ends by Close, with the context it was made with, or when the peer is gone.
type Conn struct {
	nc         net.Conn
	timed      *timedReader
	r          *bufio.Reader
	bounds     bounds.Bounds
	peer       hello.Hello
	version    int
	parity     uint64 // of the ids of streams opened here
	serve      func(s *strm.Stream, method string) error
	ctx        context.Context // of the streams the peer opened
	cancel     context.CancelCauseFunc
	unhook     func() bool   // detaches it from the context it was made with
	wake       chan struct{} // signals the writer that the queue is not empty
	ending     chan struct{} // closed when the connection begins to end
	peerBye    chan struct{} // closed when the peer has said Bye
	readerDone chan struct{} // closed when the reader has returned
	ended      chan struct{} // closed when every stream has been told
	running    sync.WaitGroup

	mu         sync.Mutex
	err        error // why it ends
	streams    map[uint64]entry
	open       int    // streams the peer opened
	retired    bool   // to be closed when it has no streams
	awaitsPeer bool   // wait for the peer before the socket is closed
	saidBye    bool   // this side has said Bye
	draining   bool   // no more streams are opened or taken
	next       uint64 // id of the next stream opened here
	last       uint64 // newest id the peer opened
	out        outbox
}

// entry is a stream with the place of its Open frame among all bytes sent.
type entry struct {
	stream *strm.Stream
	mine   bool
	start  int64
}

// Peer returns what the peer said of itself in the handshake.
func (c *Conn) Peer() hello.Hello {
	return c.peer
}

// Version returns the protocol version both sides agreed on.
func (c *Conn) Version() int {
	return c.version
}

// Done is closed when the connection and all its streams have ended.
func (c *Conn) Done() <-chan struct{} {
	return c.ended
}

// Usable reports whether streams can be opened.
func (c *Conn) Usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil && !c.draining
}

// Err returns why the connection ends, or nil.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}
