package uplink

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/peek"
)

// dialTimeout bounds a dial. Upstreams are some milliseconds away, and a machine without power does not answer.
const dialTimeout = 800 * time.Millisecond

// take returns an idle connection that still works, or a new one.
func (u *Uplink) take(ctx context.Context, addr string) (*conn, error) {
	for {
		c := u.pop(addr)
		if c == nil {
			break
		}
		c.reused = true
		c.idleBefore = time.Since(c.idleSince)
		if c.idleBefore < u.limitIdle(c.idleTimeout) && isQuiet(c.Conn) && u.usable(c) {
			return c, nil
		}
		if isClosed(c.Conn) {
			u.noteClosed(addr)
		}
		c.Close()
	}
	if !u.reserve(addr) {
		return nil, merry.Wrap(ErrFull)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
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
	c := &conn{Conn: raw, uplink: u, addr: addr, lastReceived: time.Now()}
	c.read = bufio.NewReader(c)
	return c, nil
}

func (u *Uplink) usable(c *conn) bool {
	return u.Usable == nil || u.Usable(c.Conn, c.lastReceived)
}

// pop returns the connection that was last used, nil if there is none.
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

// reserve counts a connection that is about to be opened, unless there are too many.
func (u *Uplink) reserve(addr string) bool {
	limit := 0
	if u.MaxConns != nil {
		limit = u.MaxConns(addr)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open == nil {
		u.open = map[string]int{}
	}
	if limit > 0 && u.open[addr] >= limit {
		return false
	}
	u.open[addr]++
	return true
}

// limitIdle returns an idle timeout, or the learned one if that is shorter.
func (u *Uplink) limitIdle(timeout time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.learnedTimeout == 0 {
		return timeout
	}
	return min(timeout, u.learnedTimeout)
}

// isQuiet reports whether an idle connection is open and has received no bytes. Such bytes belong to no request and could be taken for the
// answer to the next one. Connections that do not come from the kernel count as quiet; their answers are still matched by id.
func isQuiet(c net.Conn) bool {
	n, err := peek.Peek(c)
	return n == 0 && (err == nil || errors.Is(err, errors.ErrUnsupported))
}

// isBlind reports whether nothing can be told of an idle connection without reading from it.
func isBlind(c net.Conn) bool { return !peek.Able(c) }

// isClosed reports whether the other side of an idle connection has closed it.
func isClosed(c net.Conn) bool {
	_, err := peek.Peek(c)
	return err != nil && !errors.Is(err, errors.ErrUnsupported)
}
