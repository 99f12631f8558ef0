// Package uplink sends requests to upstreams over connections that it keeps.
//
// It is not net/http's transport: that one repeats requests by itself when a kept connection breaks, and takes whatever
// answer comes next on a connection. A booking that must not run twice would run twice, and an answer that an upstream
// sent twice would reach another caller.
package uplink

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/demand"
	"damaskreach/internal/resp"
	"damaskreach/pkg/verd"
)

const (
	// dialFor bounds a dial. Upstreams are some milliseconds away; a host without power answers nothing.
	dialFor = 800 * time.Millisecond
	// idleFor is how long a connection is kept without a request where the upstream names no time. Upstreams close
	// idle connections; a request that crosses the close may have run and cannot be repeated.
	idleFor = 4 * time.Second
	// idleSlack is how much earlier than the upstream's own time a connection is given up, for the time a request takes
	// to reach it.
	idleSlack = 700 * time.Millisecond
	// leastIdle is the shortest bound that is learnt: requests that follow each other closely share a connection whatever comes.
	leastIdle = 100 * time.Millisecond
	// shrink and grow change the bound after a connection broke, and after one did not: some hundred that hold undo a break.
	shrink = 0.7
	grow   = 1.01
	// writtenFor is how long a whole answer waits for the end of its request's writing to be told: a goroutine's turn on a busy
	// host. Where an upstream answered before it read a long body, the answer's end is held up for so long.
	writtenFor = 50 * time.Millisecond
	// strays is how many answers to other requests are skipped before a connection is given up.
	strays = 2
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
	closed sync.Once
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
	if err == nil && !still() {
		c.Close()
		err = merry.Wrap(ErrLeft)
	}
	if err != nil {
		return resp.Resp{}, verd.Mark(merry.Prependf(err, "connecting to %s", addr), verd.NotRun)
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	fail := func(err error, text string) (resp.Resp, error) {
		stop()
		c.Close()
		if ctx.Err() != nil {
			err = merry.Wrap(ctx.Err(), merry.WithCause(err))
		}
		return resp.Resp{}, verd.Mark(merry.Prependf(err, "%s %s", text, addr), verd.MayHaveRun)
	}
	written := make(chan error, 1)
	// An upstream may answer before it has read a long body: the answer is read meanwhile.
	go func() { written <- write(c, d, extra) }()
	r, err := c.answer(d)
	u.learn(c.idled, err != nil && ctx.Err() == nil)
	if err != nil {
		return fail(err, "waiting for the answer of")
	}
	body := r.Body
	return resp.Resp{Status: r.StatusCode, Header: r.Header, Body: body, Cut: func() { c.Close() }, Close: func() {
		alive := stop()
		if !alive || r.Close || !drained(body) || c.read.Buffered() > 0 || !sent(written) {
			c.Close()
			return
		}
		c.keep = keepFor(r.Header)
		u.put(c)
	}}, nil
}

// drained reports whether nothing of the body is left to read.
func drained(body io.Reader) bool {
	var one [1]byte
	n, err := body.Read(one[:])
	return n == 0 && errors.Is(err, io.EOF)
}

// sent reports whether the whole request was written. Were a connection kept before that, the rest of the body would be
// taken for the start of the next request. On a busy host the answer may be there before the goroutine that wrote the request
// has run again to say so; without a moment's wait such a connection would be closed, and the next request need a new one.
func sent(written <-chan error) bool {
	timer := time.NewTimer(writtenFor)
	defer timer.Stop()
	select {
	case err := <-written:
		return err == nil
	case <-timer.C:
		return false
	}
}

// answer reads the answer to a request, past answers to others. An upstream may answer a request twice; the second
// answer then lies where the next one is expected.
func (c *conn) answer(d demand.Demand) (*http.Response, error) {
	for range strays + 1 {
		r, err := http.ReadResponse(c.read, &http.Request{Method: d.Method})
		if err != nil {
			return nil, merry.Wrap(err)
		}
		if r.StatusCode < http.StatusOK {
			continue
		}
		if c.up.Matches(r.Header, d.ID) {
			return r, nil
		}
		if !skip(r) {
			break
		}
	}
	return nil, merry.Wrap(ErrStray)
}

// take returns an idle connection that still works, or a new one.
func (u *Uplink) take(ctx context.Context, addr string) (*conn, error) {
	for {
		c := u.pop(addr)
		if c == nil {
			break
		}
		c.idled = time.Since(c.since)
		if c.idled < u.bound(c.keep) && quiet(c.Conn) {
			return c, nil
		}
		c.Close()
	}
	if !u.reserve(addr) {
		return nil, merry.Wrap(ErrFull)
	}
	ctx, cancel := context.WithTimeout(ctx, dialFor)
	defer cancel()
	raw, err := u.Dial(ctx, addr)
	if err != nil {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.open[addr]--
		return nil, merry.Wrap(err)
	}
	if u.Opened != nil {
		u.Opened(addr)
	}
	return &conn{Conn: raw, up: u, addr: addr, read: bufio.NewReader(raw)}, nil
}

// bound returns how long a connection may have been idle to be used.
func (u *Uplink) bound(keep time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.longest == 0 {
		return keep
	}
	return min(keep, u.longest)
}

// learn takes whether a connection that was idle for so long broke under its next request. Some upstreams drop idle
// connections without a word and sooner than they say: a request on one is reset, and a booking cannot be sent again.
func (u *Uplink) learn(idled time.Duration, broke bool) {
	if idled == 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case broke:
		u.longest = max(leastIdle, time.Duration(shrink*float64(idled)))
	case u.longest > 0 && idled > u.longest/2:
		u.longest = min(idleFor, time.Duration(float64(u.longest)*grow))
	}
}

func (u *Uplink) pop(addr string) *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	list := u.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	u.idle[addr] = list[:len(list)-1]
	return c
}

func (u *Uplink) put(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.idle == nil {
		u.idle = map[string][]*conn{}
	}
	c.since = time.Now()
	u.idle[c.addr] = append(u.idle[c.addr], c)
}

// reserve counts a connection that is about to be opened, unless there are too many.
func (u *Uplink) reserve(addr string) bool {
	most := 0
	if u.Most != nil {
		most = u.Most(addr)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open == nil {
		u.open = map[string]int{}
	}
	if most > 0 && u.open[addr] >= most {
		return false
	}
	u.open[addr]++
	return true
}

// Sweep closes connections that were idle for too long, and returns how many are left.
func (u *Uplink) Sweep() int {
	var old []*conn
	left := 0
	u.mu.Lock()
	for addr, list := range u.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.since) >= c.keep {
				old = append(old, c)
			} else {
				kept = append(kept, c)
			}
		}
		u.idle[addr] = kept
		left += len(kept)
		if len(kept) == 0 {
			delete(u.idle, addr)
		}
	}
	u.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
	return left
}
