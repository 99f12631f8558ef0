// Package uplink sends requests to upstreams over connections that it keeps.
//
// It does not use net/http's transport, which retries requests by itself when a reused connection breaks, and accepts whatever answer comes next
// on a connection. A request that is not idempotent could then run twice, and an answer that an upstream sent twice could reach another
// caller.
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
	"damaskreach/internal/doubt"
	"damaskreach/internal/resp"
	"damaskreach/pkg/verd"
)

var (
	// ErrFull means that the limit of connections to the upstream is reached.
	ErrFull = merry.Sentinel("uplink: all connections to the upstream are in use")
	// ErrLeft means that the upstream began to shut down while a connection to it was opened.
	ErrLeft = merry.Sentinel("uplink: the upstream has begun to leave")
	// ErrStray means that only answers to other requests were received.
	ErrStray = merry.Sentinel("uplink: the answer belongs to another request")
)

// Uplink is a pool of connections to upstreams. It may be used from several goroutines.
type Uplink struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// NotRun reports whether an answer states that its request was not run, given the additional headers of the request, and what speaks against
	// that statement.
	NotRun func(extra http.Header, status int, h http.Header) (stated bool, d doubt.Doubt)
	// Stray, if set, is called for each answer that does not belong to the request that waits for one; id is that of the request that it names,
	// empty for none.
	Stray func(addr string, status int, id, waiting string)
	// AnswerID returns the id of the request that an answer belongs to, empty where it names none.
	AnswerID func(h http.Header) string
	// MaxConns returns how many connections this host may have open to an address; zero means no limit.
	MaxConns func(addr string) int
	// Opened is called for each new connection; it may be nil.
	Opened func(addr string)
	// Usable reports whether an idle connection may be used, given when bytes were last received on it; nil means that each may.
	Usable func(c net.Conn, lastReceived time.Time) bool
	// Sent is called when a request is about to be sent to an address, Received when bytes come from one; they may be nil.
	Sent, Received func(c net.Conn, addr string)

	mu             sync.Mutex
	learnedTimeout time.Duration      // idle timeout learned from connections that broke; 0 means none
	idle           map[string][]*conn // by address, the last used one last
	open           map[string]int     // by address, idle ones included
	closed         map[string]bool    // addresses at which an idle connection was found closed since Lost was last called
}

// conn is one connection, used for one request at a time.
type conn struct {
	net.Conn
	uplink       *Uplink
	addr         string
	read         *bufio.Reader
	idleSince    time.Time
	idleTimeout  time.Duration
	reused       bool          // it has carried a request before the current one
	idleBefore   time.Duration // how long it was idle before the current request; 0 for a new connection
	lastReceived time.Time     // when bytes were last received
	closed       sync.Once
	single       bool         // it carries no further request
	inHead       bool         // the head of an answer is being read
	headLeft     int          // how many more bytes it may have
	unread       []byte       // received bytes that were put back
	restoreAcks  func() error // undoes suspendAckTimeout; nil if that was not called
}

// Read reads received bytes. It fails once the head of an answer is too long.
func (c *conn) Read(p []byte) (int, error) {
	if len(c.unread) > 0 {
		n := copy(p, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	if c.inHead {
		p = p[:min(len(p), c.headLeft)]
		if len(p) == 0 {
			return 0, merry.Wrap(ErrLongHead)
		}
	}
	n, err := c.Conn.Read(p)
	c.headLeft -= n
	if n > 0 {
		c.lastReceived = time.Now()
		if c.uplink.Received != nil {
			c.uplink.Received(c.Conn, c.addr)
		}
	}
	return n, err
}

// buffered returns how many received bytes were not taken.
func (c *conn) buffered() int { return len(c.unread) + c.read.Buffered() }

// Close closes the connection and stops counting it.
func (c *conn) Close() error {
	var err error
	c.closed.Do(func() {
		err = c.Conn.Close()
		c.uplink.mu.Lock()
		defer c.uplink.mu.Unlock()
		c.uplink.open[c.addr]--
	})
	return err
}

// Do sends a request with additional headers, those of the moment at which a connection is open, and returns the answer once its headers are received. The verdict of an error says whether the
// request may have run. The connection is closed when ctx ends, which tells the upstream to cancel the request. stillUsable reports whether
// the upstream may get the request. It is called once a connection is open, since opening one may outlast an upstream that shuts down.
func (u *Uplink) Do(ctx context.Context, addr string, d demand.Demand, headers func() http.Header, stillUsable func() bool) (resp.Resp, error) {
	c, err := u.take(ctx, addr)
	if err == nil {
		err = c.checkWanted(ctx, stillUsable)
	}
	if err == nil {
		err = c.suspendAckTimeout(d)
	}
	if err != nil {
		return resp.Resp{}, verd.Mark(merry.Prependf(err, "connecting to %s", addr), verd.NotRun)
	}
	var extra http.Header
	if headers != nil {
		extra = headers()
	}
	if u.Sent != nil {
		u.Sent(c.Conn, addr)
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	written := newWriting()
	// The answer is read meanwhile: an upstream may answer before it has read a long body.
	go func() { written.end(write(c, d, extra)) }()
	r, err := c.answer(d, extra)
	ctxErr := ctx.Err()
	u.learnIdleTimeout(c.idleBefore, err != nil && ctxErr == nil)
	if err != nil {
		stop()
		c.Close()
		if ctxErr != nil {
			err = merry.Wrap(ctxErr, merry.WithCause(err))
		}
		return resp.Resp{}, verd.Mark(merry.Prependf(err, "waiting for the answer of %s", addr), verd.MayHaveRun)
	}
	return u.respond(c, exchange{d, extra, written, stop}, r), nil
}

// exchange is a request that was sent on a connection, and what its answer needs.
type exchange struct {
	demand  demand.Demand
	extra   http.Header
	written *writing    // how writing it ends
	stop    func() bool // keeps the connection from being closed with the request's context
}

// respond returns an answer whose head was read.
func (u *Uplink) respond(c *conn, x exchange, r *http.Response) resp.Resp {
	unframed := r.ContentLength < 0 && len(r.TransferEncoding) == 0
	body := newBody(r.Body)
	if unframed {
		body.Reader = endOf{r.Body, x.written}
	}
	rejected, why := u.NotRun(x.extra, r.StatusCode, r.Header)
	return resp.Resp{
		Status: r.StatusCode, Header: r.Header, Body: body, Unframed: unframed, Blind: isBlind(c.Conn),
		Rejected: rejected, Doubt: why, Named: u.AnswerID(r.Header) != "", Reused: c.reused,
		Cut:   func() { c.Close() },
		Later: func(wait time.Duration) (resp.Resp, bool) { return u.later(c, x, body, wait) },
		Close: func() {
			alive := x.stop()
			if !alive || c.single || r.Close || !body.ended || c.buffered() > 0 || !x.written.succeeded(writeWait) || !c.restoreAckTimeout() {
				c.Close()
				return
			}
			c.idleTimeout = idleTimeoutOf(r.Header)
			u.put(c)
		},
	}
}

// later waits for a further answer to a request on its connection, which is not used again.
func (u *Uplink) later(c *conn, x exchange, first *body, wait time.Duration) (resp.Resp, bool) {
	c.single = true
	timer := time.AfterFunc(wait, func() { c.Close() })
	defer timer.Stop()
	if !first.ended {
		c.Close()
		return resp.Resp{}, false
	}
	r, err := c.answer(x.demand, x.extra)
	if err != nil {
		c.Close() // no further answer is the usual case
		return resp.Resp{}, false
	}
	if !timer.Stop() {
		return resp.Resp{}, false
	}
	return u.respond(c, x, r), true
}
