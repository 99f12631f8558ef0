package memnet

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// Dial returns a function that opens connections from a host.
// Over a cut link, or to or from a frozen host, the function waits for ctx or the end of the fault.
func (n *Net) Dial(from string) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		to, err := parse("dial", addr)
		if err != nil {
			return nil, err
		}
		host, err := netip.ParseAddr(from)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
		}
		return n.dial(ctx, host, net.TCPAddrFromAddrPort(to))
	}
}

func (n *Net) dial(ctx context.Context, host netip.Addr, to *net.TCPAddr) (net.Conn, error) {
	stop := context.AfterFunc(ctx, n.signal)
	defer stop()
	n.mu.Lock()
	defer n.mu.Unlock()
	from := net.TCPAddrFromAddrPort(netip.AddrPortFrom(host, n.nextPort()))
	if err := n.handshake(ctx, from, to); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Source: from, Addr: to, Err: err}
	}
	cond := sync.NewCond(&n.mu)
	there := newPipe(n, cond, from.IP.String(), to.IP.String())
	back := newPipe(n, cond, to.IP.String(), from.IP.String())
	dialed := &conn{net: n, local: from, remote: to, in: back, out: there}
	accepted := &conn{net: n, local: to, remote: from, in: there, out: back}
	n.conns[dialed] = true
	n.conns[accepted] = true
	l := n.listeners[to.String()]
	l.queue = append(l.queue, accepted)
	n.changed.Broadcast()
	return dialed, nil
}

// handshake waits for one round trip over open links and for room at the listener.
func (n *Net) handshake(ctx context.Context, from, to *net.TCPAddr) error {
	there, back := from.IP.String(), to.IP.String()
	if err := n.roundTrip(ctx, there, back); err != nil {
		return err
	}
	for {
		if err := ctx.Err(); err != nil {
			return err
		}
		if n.open(there, back) && n.open(back, there) {
			l := n.listeners[to.String()]
			if l == nil {
				return syscall.ECONNREFUSED
			}
			if len(l.queue) < backlog {
				return nil
			}
		}
		n.changed.Wait()
	}
}

func (n *Net) roundTrip(ctx context.Context, there, back string) error {
	wait := n.link(there, back).latency + n.link(back, there).latency
	n.mu.Unlock()
	defer n.mu.Lock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *Net) signal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changed.Broadcast()
}
