package fabric

import (
	"net"
	"sync"
)

// listener hands out the far ends of connections.
type listener struct {
	addr  address
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr {
	return l.addr
}

// address is where a listener is reached.
type address string

// Network implements net.Addr.
func (a address) Network() string {
	return "fabric"
}

// String implements net.Addr.
func (a address) String() string {
	return string(a)
}
