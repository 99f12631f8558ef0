// Package memnet is a network in memory, for tests in virtual time.
package memnet

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/ansel1/merry/v2"
)

const backlog = 128 // connections dialled but not accepted yet

// Net connects dialers with listeners by address. Its connections are unbuffered pipes.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[string][]net.Conn // both ends, by the listener's address
}

// NewNet returns a network without listeners.
func NewNet() *Net {
	return &Net{listeners: make(map[string]*listener), conns: make(map[string][]net.Conn)}
}

// Listen accepts connections to addr until the listener is closed.
func (n *Net) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, merry.Prependf(syscall.EADDRINUSE, "listening on %s", addr)
	}
	l := &listener{net: n, addr: addr, queue: make(chan net.Conn, backlog), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects to a listener; without one the connection is refused.
func (n *Net) Dial(ctx context.Context, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, merry.Prependf(syscall.ECONNREFUSED, "dialing %s", addr)
	}
	near, far := net.Pipe()
	select {
	case l.queue <- far:
		n.keep(addr, near, far)
		return near, nil
	case <-l.closed:
		return nil, merry.Prependf(syscall.ECONNREFUSED, "dialing %s", addr)
	case <-ctx.Done():
		return nil, merry.Prependf(ctx.Err(), "dialing %s", addr)
	}
}

func (n *Net) keep(addr string, ends ...net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[addr] = append(n.conns[addr], ends...)
}

// Cut closes every connection to addr; the listener stays.
func (n *Net) Cut(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, end := range n.conns[addr] {
		end.Close()
	}
	delete(n.conns, addr)
}

func (n *Net) drop(l *listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[l.addr] == l {
		delete(n.listeners, l.addr)
	}
}

type listener struct {
	net    *Net
	addr   string
	queue  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept returns the next connection, or net.ErrClosed.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.queue:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops listening and cuts the connections that nobody accepted.
func (l *listener) Close() error {
	l.once.Do(l.shut)
	return nil
}

func (l *listener) shut() {
	l.net.drop(l)
	close(l.closed)
	for {
		select {
		case conn := <-l.queue:
			conn.Close()
		default:
			return
		}
	}
}

// Addr returns the address that was listened on.
func (l *listener) Addr() net.Addr {
	return address(l.addr)
}

type address string

// Network returns the name of this kind of network.
func (a address) Network() string {
	return "memory"
}

// String returns the address as it was given.
func (a address) String() string {
	return string(a)
}
