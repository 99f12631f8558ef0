package memnet

import (
	"net"
	"net/netip"
	"sync"
	"syscall"
)

const backlog = 128 // connections that wait to be accepted

// listener holds the connections that were dialed and not yet accepted.
type listener struct {
	net    *Net
	addr   *net.TCPAddr
	host   string
	queue  []*conn
	closed bool
	cond   *sync.Cond
}

// Listen takes dials to addr, an IP and port; port 0 means any free one.
func (n *Net) Listen(addr string) (net.Listener, error) {
	parsed, err := parse("listen", addr)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if parsed.Port() == 0 {
		parsed = netip.AddrPortFrom(parsed.Addr(), n.nextPort())
	}
	tcp := net.TCPAddrFromAddrPort(parsed)
	if n.listeners[tcp.String()] != nil {
		return nil, fault("listen", nil, tcp, syscall.EADDRINUSE)
	}
	l := &listener{net: n, addr: tcp, host: tcp.IP.String(), cond: n.changed}
	n.listeners[tcp.String()] = l
	return l, nil
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	for {
		if l.closed {
			return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.addr, Err: net.ErrClosed}
		}
		if len(l.queue) > 0 && !l.net.frozen[l.host] {
			c := l.queue[0]
			l.queue = l.queue[1:]
			l.cond.Broadcast() // a dialer may be waiting for room
			return c, nil
		}
		l.cond.Wait()
	}
}

// Close refuses further dials and resets the connections nobody accepted.
func (l *listener) Close() error {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.closed {
		return &net.OpError{Op: "close", Net: "tcp", Addr: l.addr, Err: net.ErrClosed}
	}
	l.closed = true
	if l.net.listeners[l.addr.String()] == l {
		delete(l.net.listeners, l.addr.String())
	}
	for _, c := range l.queue {
		c.shut(syscall.ECONNRESET)
	}
	l.queue = nil
	l.cond.Broadcast()
	return nil
}

// Detach takes an address from its listener, as when it moves to another host: what listens there next gets the new
// connections, and the old listener keeps those it accepted.
func (n *Net) Detach(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.listeners, addr)
}

// Addr returns the address listened at.
func (l *listener) Addr() net.Addr { return l.addr }
