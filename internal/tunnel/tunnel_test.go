package tunnel_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/peer"
	"damaskreach/internal/stand/memnet"
	"damaskreach/internal/strm"
	"damaskreach/internal/tunnel"
)

const (
	hostA, hostB, hostU = "10.0.0.1", "10.0.0.2", "10.0.0.3"
	addrB, addrU        = hostB + ":7380", hostU + ":80"
)

// way is two hosts, of which the second opens connections to an upstream for the first.
type way struct {
	net *memnet.Net
	a   *peer.Mesh
	l   net.Listener // of the upstream
	b   *kept        // the second host's port
}

// kept is a port that keeps what it accepts.
type kept struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

// Accept accepts a connection.
func (k *kept) Accept() (net.Conn, error) {
	c, err := k.Listener.Accept()
	if err == nil {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.conns = append(k.conns, c)
	}
	return c, err
}

// end closes the connections without a word, as the kernel does for a process that has exited.
func (k *kept) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.conns {
		c.Close()
	}
}

func play(t *testing.T, story func(t *testing.T, w *way)) {
	synctest.Test(t, func(t *testing.T) {
		w := &way{net: memnet.NewNet(1)}
		secrets := [][]byte{[]byte("secret")}
		b := peer.NewMesh("b", secrets, w.net.Dial(hostB), zap.NewNop())
		b.Handle("pass", func(ctx context.Context, s *strm.Stream) error {
			var addr string
			if err := s.Recv(ctx, &addr); err != nil {
				return err
			}
			c, err := w.net.Dial(hostB)(ctx, addr)
			if err != nil {
				return err
			}
			return tunnel.Pass(ctx, s, c)
		})
		lb, err := w.net.Listen(addrB)
		if err != nil {
			t.Fatalf("Listen() = %v, want nil", err)
		}
		w.b = &kept{Listener: lb}
		if w.l, err = w.net.Listen(addrU); err != nil {
			t.Fatalf("Listen() = %v, want nil", err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		served := make(chan error, 1)
		go func() { served <- b.Serve(ctx, w.b) }()
		w.a = peer.NewMesh("a", secrets, w.net.Dial(hostA), zap.NewNop())
		story(t, w)
		w.a.Close()
		w.l.Close()
		cancel()
		if err := <-served; err != nil {
			t.Errorf("Serve() = %v, want nil", err)
		}
	})
}

// open opens a tunnel and returns the upstream's end too.
func (w *way) open(t *testing.T) (*tunnel.Tunnel, net.Conn) {
	t.Helper()
	c, err := w.try(t)
	if err != nil {
		t.Fatalf("Open() = %v, want nil", err)
	}
	far, err := w.l.Accept()
	if err != nil {
		t.Fatalf("Accept() = %v, want nil", err)
	}
	return c, far
}

func (w *way) try(t *testing.T) (*tunnel.Tunnel, error) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	return tunnel.Open(ctx, hostB, addrU, func(ctx context.Context) (*strm.Stream, error) {
		return w.a.Open(ctx, addrB, "pass", addrU)
	})
}

// Bytes go both ways whole, whatever pieces they are written and read in.
func TestBytesGoBothWays(t *testing.T) {
	play(t, func(t *testing.T, w *way) {
		c, far := w.open(t)
		sent := strings.Repeat("0123456789", 20_000)
		go func() {
			defer far.Close()
			if _, err := io.Copy(far, io.LimitReader(far, int64(len(sent)))); err != nil {
				t.Errorf("upstream: %v", err)
			}
		}()
		go func() {
			if n, err := c.Write([]byte(sent)); n != len(sent) || err != nil {
				t.Errorf("Write() = %d, %v, want %d", n, err, len(sent))
			}
		}()
		got, err := io.ReadAll(c)
		if string(got) != sent || err != nil {
			t.Errorf("%d bytes came back, %v, want the %d sent", len(got), err, len(sent))
		}
		c.Close()
	})
}

// The upstream closes an idle connection. A booking sent on it would be lost, and may not be sent again.
func TestTunnelThatEndedIsNotQuiet(t *testing.T) {
	play(t, func(t *testing.T, w *way) {
		c, far := w.open(t)
		synctest.Wait()
		if !c.Quiet() {
			t.Error("Quiet() = false of an idle tunnel, want true")
		}
		far.Close()
		time.Sleep(time.Second)
		if c.Quiet() {
			t.Error("Quiet() = true of a tunnel that has ended, want false")
		}
		if n, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("Read() = %d, %v, want EOF", n, err)
		}
		c.Close()
	})
}

// The upstream resets the connection amid an answer without a length: told as its end, the answer would look whole.
func TestResetIsNoEnd(t *testing.T) {
	play(t, func(t *testing.T, w *way) {
		c, far := w.open(t)
		if _, err := io.WriteString(far, "half"); err != nil {
			t.Errorf("upstream: %v", err)
		}
		time.Sleep(time.Second)
		w.net.Break(hostB, hostU)
		got, err := io.ReadAll(c)
		if string(got) != "half" || err == nil {
			t.Errorf("ReadAll() = %q, %v, want %q and an error", got, err, "half")
		}
		c.Close()
		far.Close()
	})
}

// The host by way of which an answer without a length comes stops amid it: told as the answer's end, the answer would look whole.
func TestEndOfTheOtherHostIsNoEnd(t *testing.T) {
	play(t, func(t *testing.T, w *way) {
		c, far := w.open(t)
		if _, err := io.WriteString(far, "half"); err != nil {
			t.Errorf("upstream: %v", err)
		}
		time.Sleep(time.Second)
		w.b.end()
		got, err := io.ReadAll(c)
		if string(got) != "half" || err == nil {
			t.Errorf("ReadAll() = %q, %v, want %q and an error", got, err, "half")
		}
		if _, err := c.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
			t.Errorf("Read() = %v, want an error that is no end", err)
		}
		c.Close()
		far.Close()
	})
}

// The caller leaves: the upstream learns of it by the end of its connection, as where no other host stands between.
func TestClosingReachesTheUpstream(t *testing.T) {
	play(t, func(t *testing.T, w *way) {
		c, far := w.open(t)
		c.Close()
		if n, err := far.Read(make([]byte, 1)); err == nil {
			t.Errorf("upstream read %d bytes and no error, want the end", n)
		}
		far.Close()
	})
}

// The other host does not reach the upstream either: the request has not run, and may go elsewhere.
func TestUpstreamThatIsNotThereIsAnErrorOfOpening(t *testing.T) {
	play(t, func(t *testing.T, w *way) {
		w.l.Close()
		if c, err := w.try(t); err == nil {
			c.Close()
			t.Error("Open() = nil, want an error")
		}
	})
}
