package peer_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"

	"damaskreach/internal/peer"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// plane is a network of pipes: listeners by address.
type plane struct {
	mu  sync.Mutex
	at  map[string]*listener
	all []*socket
}

// socket knows whether it was closed.
type socket struct {
	net.Conn
	closed atomic.Bool
}

func (s *socket) Close() error {
	s.closed.Store(true)
	return s.Conn.Close()
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
	s := &socket{Conn: near}
	p.mu.Lock()
	p.all = append(p.all, s)
	p.mu.Unlock()
	return s, nil
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

// open returns the number of dialled sockets that were not closed.
func (p *plane) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.all {
		if !s.closed.Load() {
			n++
		}
	}
	return n
}

// cut closes every socket that was dialled, as the death of a host does.
func (p *plane) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.all {
		c.Close()
	}
	p.all = nil
}

// wantErr checks an error and its verdict; a nil target stands for any error.
func wantErr(t *testing.T, what string, err, target error, verdict verd.Verdict) {
	t.Helper()
	if err == nil || verd.Of(err) != verdict {
		t.Errorf("%s: got %v, %v, want %v", what, err, verd.Of(err), verdict)
	}
	if target != nil && !errors.Is(err, target) {
		t.Errorf("%s: got %v, want %v", what, err, target)
	}
}

// wantCode checks that an error carries a refusal of a code and verdict.
func wantCode(t *testing.T, what string, err error, code string, verdict verd.Verdict) {
	t.Helper()
	var refusal *refuse.Refusal
	if !errors.As(err, &refusal) || refusal.Code != code || verd.Of(err) != verdict {
		t.Errorf("%s: got %v, %v, want %s, %v", what, err, verd.Of(err), code, verdict)
	}
}
