package wire

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/frame"
)

const (
	sizeBody   = 4 << 10  // up to which bodies are read into one buffer
	sizeReader = 32 << 10 // of the reader while streams are open
	sizeIdle   = 256      // of the reader while there are none: pings and the start of the next Open pass through it
)

// space is what reading needs while streams are open.
type space struct {
	r    *bufio.Reader
	body []byte
}

// spaces are shared by all connections. A node has hundreds, most of them without a stream at any moment; a reader for
// each would take most of the memory that a connection takes.
var spaces = sync.Pool{New: func() any {
	return &space{r: bufio.NewReaderSize(nil, sizeReader), body: make([]byte, sizeBody)}
}}

// timedReader reads from a socket and fails when nothing arrives for the timeout.
//
// A cut cable or a host that lost power sends no end of stream. Without the deadline requests would wait on such a
// connection for ever; as a living peer sends at least its pings, silence means that it cannot be reached.
type timedReader struct {
	nc      net.Conn
	timeout time.Duration // zero during the handshake, which has a deadline of its own
}

// Read implements io.Reader.
func (p *timedReader) Read(buf []byte) (int, error) {
	if p.timeout == 0 {
		return p.nc.Read(buf)
	}
	if err := p.nc.SetReadDeadline(time.Now().Add(p.timeout)); err != nil {
		return 0, err
	}
	return p.nc.Read(buf)
}

// readAll reads frames of at most limit bytes until the connection ends.
func (c *Conn) readAll(limit int) {
	defer close(c.readerDone)
	var sp *space
	defer func() { c.release(sp) }()
	for {
		sp = c.provide(sp)
		f, err := c.readFrame(sp, limit)
		if err != nil {
			c.fail(merry.Prependf(err, "reading from node %s", c.peer.ID))
			return
		}
		if err := c.dispatch(f); err != nil {
			c.fail(err)
			return
		}
	}
}

// readFrame reads through the space, or past it where there is none.
func (c *Conn) readFrame(sp *space, limit int) (frame.Frame, error) {
	if sp == nil {
		return frame.Read(c.r, limit)
	}
	return frame.ReadInto(sp.r, limit, sp.body)
}

// provide takes a space where a stream is open and gives it back where none is. A space with unread bytes is kept: they
// would be lost with it.
func (c *Conn) provide(sp *space) *space {
	if sp != nil && sp.r.Buffered() > 0 {
		return sp
	}
	c.mu.Lock()
	busy := len(c.streams) > 0
	c.mu.Unlock()
	switch {
	case busy && sp == nil:
		sp = spaces.Get().(*space)
		sp.r.Reset(c.r)
	case !busy && sp != nil:
		c.release(sp)
		sp = nil
	}
	return sp
}

func (c *Conn) release(sp *space) {
	if sp != nil {
		sp.r.Reset(nil)
		spaces.Put(sp)
	}
}

// dispatch hands a frame to its stream, which does not keep the body. A frame of a stream that is over or was never opened is dropped: it is late,
// and as ids are never reused it cannot reach another stream.
func (c *Conn) dispatch(f frame.Frame) error {
	switch f.Kind {
	case frame.Open:
		return c.accept(f)
	case frame.Bye:
		c.released(f.Stream)
	case frame.Data, frame.Reset, frame.Credit:
		c.mu.Lock()
		e, ok := c.streams[f.Stream]
		c.mu.Unlock()
		if ok {
			e.stream.Accept(f)
		}
	}
	return nil
}
