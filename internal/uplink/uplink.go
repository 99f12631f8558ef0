// Package uplink sends requests to upstreams over connections that it keeps.
//
// It is not net/http's transport: that one repeats requests by itself when a kept connection breaks, and takes whatever
// answer comes next on a connection. A booking that must not run twice would run twice, and an answer that an upstream
// sent twice would reach another caller.
package uplink

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/demand"
	"damaskreach/internal/resp"
	"damaskreach/pkg/verd"
)

var (
	// ErrFull means that no more connections to the upstream may be opened now.
	ErrFull = merry.Sentinel("uplink: all connections to the upstream are in use")
	// ErrLeft means that the upstream began to leave while a connection to it was opened.
	ErrLeft = merry.Sentinel("uplink: the upstream has begun to leave")
	// ErrStray means that only answers to other requests came.
	ErrStray = merry.Sentinel("uplink: the answer belongs to another request")
)

// Uplink keeps connections to upstreams. It may be used from several goroutines.
type Uplink struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Matches reports whether an answer's headers are those of the answer to the request with an id.
	Matches func(h http.Header, id string) bool
	// Most returns how many connections this host may have open to an address; zero means no bound.
	Most func(addr string) int
	// Opened counts new connections; it may be nil.
	Opened func(addr string)
	// Usable reports whether a kept connection on which something came last at a time may be used; nil means that each may.
	Usable func(c net.Conn, heard time.Time) bool
	// Sent and Heard are told that an answer is waited for on a connection to an address, and that something came on one; they may be nil.
	Sent, Heard func(c net.Conn, addr string)

	mu      sync.Mutex
	longest time.Duration // that a connection is left idle, as learnt from those that broke; 0 means no bound
	idle    map[string][]*conn
	open    map[string]int
}

// conn is one connection with at most one request on it.
type conn struct {
	net.Conn
	up     *Uplink
	addr   string
	read   *bufio.Reader
	since  time.Time     // when it last became idle
	keep   time.Duration // how long it may be idle
	idled  time.Duration // how long it was idle before the request that is on it now; 0 for a new one
	heard  time.Time     // when something came last
	closed sync.Once
	// inHead says that the head of an answer is read, of which headLeft more bytes may come.
	inHead   bool
	headLeft int
	// restore sets the bound again on how long bytes wait for the upstream; nil where it was not lifted.
	restore func() error
}

// Read reads what has come. While the head of an answer is read, it fails once that is too long.
func (c *conn) Read(p []byte) (int, error) {
	if c.inHead {
		p = p[:min(len(p), c.headLeft)]
		if len(p) == 0 {
			return 0, merry.Wrap(ErrLongHead)
		}
	}
	n, err := c.Conn.Read(p)
	c.headLeft -= n
	if n > 0 {
		c.heard = time.Now()
		if c.up.Heard != nil {
			c.up.Heard(c.Conn, c.addr)
		}
	}
	return n, err
}

// Close closes the connection and frees its place.
func (c *conn) Close() error {
	var err error
	c.closed.Do(func() {
		err = c.Conn.Close()
		c.up.mu.Lock()
		defer c.up.mu.Unlock()
		c.up.open[c.addr]--
	})
	return err
}

// Do sends a request with the given headers beside its own and returns the answer once its headers are there. The
// verdict of an error says whether the request may have run. The connection is closed when ctx ends, which is how an
// upstream learns that nobody waits for the answer any more. Still reports whether the upstream may get the request; it is asked once there
// is a connection, since opening one may take longer than an upstream that leaves has left.
func (u *Uplink) Do(ctx context.Context, addr string, d demand.Demand, extra http.Header, still func() bool) (resp.Resp, error) {
	c, err := u.take(ctx, addr)
	if err == nil {
		err = c.over(ctx, still)
	}
	if err == nil {
		err = c.lift(d)
	}
	if err != nil {
		return resp.Resp{}, verd.Mark(merry.Prependf(err, "connecting to %s", addr), verd.NotRun)
	}
	if u.Sent != nil {
		u.Sent(c.Conn, addr)
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	written := make(chan error, 1)
	// An upstream may answer before it has read a long body: the answer is read meanwhile.
	go func() { written <- write(c, d, extra) }()
	r, err := c.answer(d)
	over := ctx.Err()
	u.learn(c.idled, err != nil && over == nil)
	if err != nil {
		stop()
		c.Close()
		if over != nil {
			err = merry.Wrap(over, merry.WithCause(err))
		}
		return resp.Resp{}, verd.Mark(merry.Prependf(err, "waiting for the answer of %s", addr), verd.MayHaveRun)
	}
	body := newBody(r.Body)
	unframed := r.ContentLength < 0 && len(r.TransferEncoding) == 0
	return resp.Resp{Status: r.StatusCode, Header: r.Header, Body: body, Unframed: unframed, Cut: func() { c.Close() }, Close: func() {
		alive := stop()
		if !alive || r.Close || !body.ended || c.read.Buffered() > 0 || !sent(written) || !c.bound() {
			c.Close()
			return
		}
		c.keep = keepFor(r.Header)
		u.put(c)
	}}, nil
}
