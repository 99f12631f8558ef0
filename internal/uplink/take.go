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

// dialFor bounds a dial. Upstreams are some milliseconds away; a host without power answers nothing.
const dialFor = 800 * time.Millisecond

// take returns an idle connection that still works, or a new one.
func (u *Uplink) take(ctx context.Context, addr string) (*conn, error) {
	for {
		c := u.pop(addr)
		if c == nil {
			break
		}
		c.idled = time.Since(c.since)
		if c.idled < u.bound(c.keep) && quiet(c.Conn) && u.usable(c) {
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
	c := &conn{Conn: raw, up: u, addr: addr, heard: time.Now()}
	c.read = bufio.NewReader(c)
	return c, nil
}

func (u *Uplink) usable(c *conn) bool {
	return u.Usable == nil || u.Usable(c.Conn, c.heard)
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

// bound returns how long a connection may have been idle to be used.
func (u *Uplink) bound(keep time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.longest == 0 {
		return keep
	}
	return min(keep, u.longest)
}

// quiet reports whether an idle connection is open and holds no bytes. Bytes on it answer nothing that was asked: given
// to the next request they would reach the wrong caller. Connections of other kinds than the kernel's are taken for
// quiet; their answers are still matched by id.
func quiet(c net.Conn) bool {
	n, err := peek.Peek(c)
	return n == 0 && (err == nil || errors.Is(err, errors.ErrUnsupported))
}
