// Package dialer opens TCP connections that do not stay open in silence.
package dialer

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"damaskreach/internal/ends"
)

const (
	// idle, every and count find connections on which nothing is sent; ackFor finds those where bytes wait for the other side, and ends the probes of the others
	// after as long, whatever their count.
	// A host without power or behind a partition answers nothing, and the kernel alone would wait for many minutes.
	idle   = time.Second
	every  = time.Second
	count  = 3
	ackFor = 3 * time.Second
)

// Dial opens a connection to an IP and port.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return ends.NewConn(c), nil
}

func dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: idle, Interval: every, Count: count},
		Control:         control,
	}
	return d.DialContext(ctx, "tcp", addr)
}

func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackFor.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// DialDropping opens a connection that drops what it has not sent when it is closed. An order that gets no answer would else be sent by the kernel for seconds,
// and reach the engine between the orders of another host.
func DialDropping(ctx context.Context, addr string) (net.Conn, error) {
	c, err := dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return nil, errors.Join(err, c.Close())
		}
	}
	return ends.NewConn(c), nil
}
