// Package tunnel lets a host use a connection to an upstream that another host has opened for it.
//
// The other host passes bytes on and understands none of them: it chooses nothing, repeats nothing, and its death is to the request what the upstream's
// would be.
package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/strm"
)

// piece is how many bytes are passed on at once.
const piece = 16 << 10

// settleTime is for how long nothing must have come from the other host for an upstream's end to stand: pieces of a body that is being uploaded follow each other
// more closely.
const settleTime = 20 * time.Millisecond

// errClosed is why reading ends at the side that closed the connection.
var errClosed = merry.Sentinel("tunnel: closed here")

// Tunnel is a connection to an upstream by way of another host.
type Tunnel struct {
	host   string // by way of which it goes
	addr   addr   // of the upstream
	stream *strm.Stream
	cancel context.CancelFunc

	next chan []byte // what arrived and was not taken yet

	mu    sync.Mutex
	ahead int    // pieces that arrived and were not taken
	left  []byte // of the piece that was taken
	err   error  // why nothing more comes
}

// addr is the address of an upstream.
type addr string

// Network returns "tunnel".
func (addr) Network() string { return "tunnel" }

// String returns the IP and port.
func (a addr) String() string { return string(a) }

// Open asks for a connection to an upstream by way of a host; open opens a stream to that host. An error means that there is no connection.
func Open(ctx context.Context, host, upstream string, open func(ctx context.Context) (*strm.Stream, error)) (*Tunnel, error) {
	// The stream outlives ctx, which only bounds its opening.
	lives, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	s, err := open(lives)
	if err == nil {
		var there bool
		err = s.Recv(ctx, &there)
	}
	if err == nil && !stop() {
		err = ctx.Err()
	}
	if err != nil {
		cancel()
		return nil, merry.Prependf(err, "to %s by way of host %s", upstream, host)
	}
	t := &Tunnel{host: host, addr: addr(upstream), stream: s, cancel: cancel, next: make(chan []byte)}
	go t.receive(lives)
	return t, nil
}

// receive takes what arrives, one piece ahead of who reads.
func (t *Tunnel) receive(ctx context.Context) {
	defer close(t.next)
	for {
		var p []byte
		err := ended(t.stream.Recv(ctx, &p))
		if ctx.Err() != nil {
			err = errClosed
		}
		t.note(err)
		if err != nil {
			return
		}
		select {
		case t.next <- p:
		case <-ctx.Done():
			t.note(errClosed)
			return
		}
	}
}

// ended keeps io.EOF for the end that the upstream made. The other host's end has it as its cause, and an answer without a length would look whole.
func ended(err error) error {
	if err == nil || err == io.EOF {
		return err
	}
	return merry.Errorf("tunnel broke: %v", err)
}

// note notes that something came, or nothing more will.
func (t *Tunnel) note(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		t.ahead++
	}
	t.err = err
}

// Host returns the IP of the host by way of which the connection goes.
func (t *Tunnel) Host() string { return t.host }

// Quiet reports whether nothing that was not read has come, the connection's end included.
func (t *Tunnel) Quiet() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ahead == 0 && len(t.left) == 0 && t.err == nil
}

// Read returns bytes that have arrived, waiting for the first.
func (t *Tunnel) Read(p []byte) (int, error) {
	for {
		if n := t.take(p); n > 0 || len(p) == 0 {
			return n, nil
		}
		next, ok := <-t.next
		if !ok {
			return 0, t.end()
		}
		t.mu.Lock()
		t.left = next
		t.ahead--
		t.mu.Unlock()
	}
}

// take returns how many bytes it took of the piece at hand.
func (t *Tunnel) take(p []byte) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := copy(p, t.left)
	t.left = t.left[n:]
	return n
}

func (t *Tunnel) end() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}

// Write sends bytes.
func (t *Tunnel) Write(p []byte) (written int, err error) {
	for len(p) > 0 {
		n := min(piece, len(p))
		if err := t.stream.Send(t.stream.Context(), p[:n]); err != nil {
			return written, err
		}
		written, p = written+n, p[n:]
	}
	return written, nil
}

// Close ends the connection, at the upstream too.
func (t *Tunnel) Close() error {
	t.cancel()
	return nil
}

// LocalAddr returns the upstream's address: a tunnel has none of its own.
func (t *Tunnel) LocalAddr() net.Addr { return t.addr }

// RemoteAddr returns the upstream's address.
func (t *Tunnel) RemoteAddr() net.Addr { return t.addr }

// SetDeadline is not supported: requests end by closing their connections.
func (t *Tunnel) SetDeadline(time.Time) error { return errors.ErrUnsupported }

// SetReadDeadline is not supported.
func (t *Tunnel) SetReadDeadline(time.Time) error { return errors.ErrUnsupported }

// SetWriteDeadline is not supported.
func (t *Tunnel) SetWriteDeadline(time.Time) error { return errors.ErrUnsupported }

// Pass passes bytes on between another host and a connection that was opened for it, until either side ends.
func Pass(ctx context.Context, s *strm.Stream, c net.Conn) error {
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	if err := s.Send(ctx, true); err != nil {
		return err
	}
	var lastWrite atomic.Int64 // in Unix nanoseconds
	go func() {
		defer c.Close()
		for {
			var p []byte
			if err := s.Recv(ctx, &p); err != nil {
				return // its host has closed it, or is gone
			}
			lastWrite.Store(time.Now().UnixNano())
			if _, err := c.Write(p); err != nil {
				return // the reading side tells
			}
			lastWrite.Store(time.Now().UnixNano())
		}
	}()
	buffer := make([]byte, piece)
	for {
		n, err := c.Read(buffer)
		if n > 0 {
			if err := s.Send(ctx, buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) && time.Since(time.Unix(0, lastWrite.Load())) < settleTime {
			time.Sleep(settleTime / 4)
			continue // what is on its way from the other host shows whether the upstream still takes it
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return merry.Prependf(err, "passing on for another host")
		}
	}
}
