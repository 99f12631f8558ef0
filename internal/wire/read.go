package wire

import (
	"net"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/frame"
)

// sizeBody is the size up to which bodies are read into one buffer.
const sizeBody = 4 << 10

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
	buf := make([]byte, sizeBody)
	for {
		f, err := frame.ReadInto(c.r, limit, buf)
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
