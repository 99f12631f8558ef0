package tunnel_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/dialer"
	"damaskreach/internal/peer"
	"damaskreach/internal/strm"
	"damaskreach/internal/tunnel"
)

// An upstream is reached by way of another host, and resets its connection while it is written to, behind a part of an answer without a length. The kernel
// of the other host may tell the side that writes alone; passed on as an end, the part would look whole.
func TestResetOfAConnectionThatIsWrittenToIsNoEnd(t *testing.T) {
	upstream, lb := listen(t), listen(t)
	secrets := [][]byte{[]byte("secret")}
	b := peer.NewMesh("b", secrets, dialer.Dial, zap.NewNop())
	b.Handle("pass", func(ctx context.Context, s *strm.Stream) error {
		var addr string
		if err := s.Recv(ctx, &addr); err != nil {
			return err
		}
		c, err := dialer.Dial(ctx, addr)
		if err != nil {
			return err
		}
		return tunnel.Pass(ctx, s, c)
	})
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- b.Serve(ctx, lb) }()
	a := peer.NewMesh("a", secrets, dialer.Dial, zap.NewNop())
	defer func() {
		a.Close()
		cancel()
		<-served
	}()
	for range 10 {
		c, err := tunnel.Open(t.Context(), "b", upstream.Addr().String(), func(ctx context.Context) (*strm.Stream, error) {
			return a.Open(ctx, lb.Addr().String(), "pass", upstream.Addr().String())
		})
		if err != nil {
			t.Fatalf("Open() = %v, want nil", err)
		}
		far, err := upstream.Accept()
		if err != nil {
			t.Fatalf("Accept() = %v, want nil", err)
		}
		go func() {
			// The upstream takes none of it.
			_, _ = c.Write(make([]byte, 32<<20))
		}()
		if _, err := io.WriteString(far, "half"); err != nil {
			t.Errorf("answering: %v", err)
		}
		<-time.After(30 * time.Millisecond) // the upload fills the kernel's buffers meanwhile
		_ = far.(*net.TCPConn).SetLinger(0)
		far.Close()
		if got, err := io.ReadAll(c); err == nil {
			t.Errorf("read %q without an error, want one", got)
		}
		c.Close()
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("Listen() = %v, want nil", err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}
