package tally

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"net"

	"damaskreach/internal/frame"
)

const (
	sizeLength = 4        // of the length at the start of a frame
	mostFrame  = 16 << 20 // a longer one is no frame: the first letters of HTTP read as a length are far above
)

// conn counts one connection of the side that dialled it.
type conn struct {
	net.Conn
	tally   *Tally
	methods map[uint64]string // by stream
	out, in flow
}

// flow is one direction of a connection.
type flow struct {
	rest    []byte // start of a frame that is not whole
	foreign bool   // it does not consist of frames
}

func newConn(nc net.Conn, t *Tally) *conn {
	return &conn{Conn: nc, tally: t, methods: make(map[uint64]string)}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(&c.in, b[:n])
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(&c.out, b[:n])
	return n, err
}

func (c *conn) count(f *flow, b []byte) {
	c.tally.mu.Lock()
	defer c.tally.mu.Unlock()
	if !f.foreign {
		f.rest = append(f.rest, b...)
		b = nil
		c.split(f)
	}
	if f.foreign {
		c.tally.add(Upstream, 0, len(f.rest)+len(b))
		f.rest = nil
	}
}

// split counts the whole frames.
func (c *conn) split(f *flow) {
	for len(f.rest) >= sizeLength {
		size := sizeLength + int(binary.BigEndian.Uint32(f.rest))
		if size > mostFrame {
			f.foreign = true
			return
		}
		if len(f.rest) < size {
			return
		}
		whole, err := frame.Read(bufio.NewReader(bytes.NewReader(f.rest[:size])), size)
		if err != nil {
			f.foreign = true
			return
		}
		c.tally.take(whole, c.methods)
		f.rest = f.rest[size:]
	}
}
