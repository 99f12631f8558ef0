package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/peer"
	"damaskreach/internal/strm"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// plane is a network of pipes: listeners by address.
type plane struct {
	mu  sync.Mutex
	at  map[string]*listener
	all []net.Conn
}

func newPlane() *plane {
	return &plane{at: make(map[string]*listener)}
}

type listener struct {
	addr  string
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (p *plane) listen(addr string) *listener {
	l := &listener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at[addr] = l
	return l
}

func (p *plane) dial(ctx context.Context, addr string) (net.Conn, error) {
	p.mu.Lock()
	l := p.at[addr]
	p.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
	case <-l.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	p.mu.Lock()
	p.all = append(p.all, near)
	p.mu.Unlock()
	return near, nil
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.addr) }

type address string

func (a address) Network() string { return "pipe" }
func (a address) String() string  { return string(a) }

var secrets = [][]byte{[]byte("a secret of the site")}

func newMesh(p *plane, id string) *peer.Mesh {
	return peer.NewMesh(id, secrets, p.dial, zap.NewNop())
}

func serve(t *testing.T, m *peer.Mesh, l net.Listener) context.CancelFunc {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := m.Serve(ctx, l); err != nil {
			t.Errorf("Serve: got %v, want nil", err)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

type question struct {
	Text string `msgpack:"text"`
}

func TestAskAndOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlane()
		b := newMesh(p, "b")
		peer.Answer(b, "echo", func(_ context.Context, from string, q question) (question, error) {
			if q.Text == "no" {
				return question{}, refuse.NewRefusal(verd.NotRun, refuse.Limited, "no").WithRetry(time.Second)
			}
			return question{Text: from + " said " + q.Text}, nil
		})
		b.Handle("count", func(ctx context.Context, s *strm.Stream) error {
			var n int
			if err := s.Recv(ctx, &n); err != nil {
				return err
			}
			for i := range n {
				if err := s.Send(ctx, i); err != nil {
					return err
				}
			}
			return nil
		})
		defer serve(t, b, p.listen("b:1"))()
		a := newMesh(p, "a")
		defer a.Close()
		var got question
		if err := a.Ask(t.Context(), "b:1", "echo", question{Text: "hi"}, &got); err != nil || got.Text != "a said hi" {
			t.Errorf("Ask: got %q, %v, want %q", got.Text, err, "a said hi")
		}
		err := a.Ask(t.Context(), "b:1", "echo", question{Text: "no"}, &got)
		var refusal *refuse.Refusal
		if !errors.As(err, &refusal) || refusal.Retry != time.Second || verd.Of(err) != verd.NotRun {
			t.Errorf("Ask: got %v, want the refusal whole", err)
		}
		s, err := a.Open(t.Context(), "b:1", "count", 10000)
		if err != nil {
			t.Fatalf("Open: got %v, want nil", err)
		}
		for i := range 10000 {
			var n int
			if err := s.Recv(t.Context(), &n); err != nil || n != i {
				t.Fatalf("Recv: got %d, %v, want %d", n, err, i)
			}
		}
		if err := s.Recv(t.Context(), new(int)); err != io.EOF {
			t.Errorf("Recv at the end: got %v, want EOF", err)
		}
		if _, err := a.Open(t.Context(), "c:1", "echo", 1); verd.Of(err) != verd.NotRun {
			t.Errorf("Open of nobody: got %v, %v, want not-run", err, verd.Of(err))
		}
		if !a.Down("c:1") || a.Down("b:1") {
			t.Errorf("Down: got %v, %v, want true, false", a.Down("c:1"), a.Down("b:1"))
		}
	})
}
