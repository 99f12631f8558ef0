// Package peer lets nodes ask each other things, over one connection for each address.
package peer

import (
	"container/list"
	"context"
	"crypto/rand"
	"maps"
	"net"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"damaskreach/internal/bounds"
	"damaskreach/internal/hello"
	"damaskreach/internal/strm"
)

// Mesh is a node's side of all its connections. Its methods may be called from several goroutines, but for Handle,
// Answer and the With methods, which belong before Serve and the first Open.
type Mesh struct {
	settings
	secrets  atomic.Pointer[[][]byte]
	handlers map[string]func(ctx context.Context, s *strm.Stream) error
	ctx      context.Context // ends with Close; dials and connections live in it
	cancel   context.CancelFunc
	work     sync.WaitGroup

	mu      sync.Mutex
	links   map[string]*link
	pending list.List // accepted connections that are in their handshakes, the oldest first
	closed  bool
}

// settings do not change while a mesh is used.
type settings struct {
	self   hello.Hello
	keys   [][]byte // secrets at the start
	dial   func(ctx context.Context, addr string) (net.Conn, error)
	log    *zap.Logger
	bounds bounds.Bounds
}

// NewMesh returns the mesh of node self, which proves itself with the first of the secrets and accepts peers that
// know any of them. It has a random epoch unless WithEpoch sets one. The function dial must end with its context.
func NewMesh(
	self string, secrets [][]byte, dial func(ctx context.Context, addr string) (net.Conn, error), log *zap.Logger,
) *Mesh {
	return newMesh(settings{
		self:   hello.NewHello(self, rand.Text()),
		keys:   secrets,
		dial:   dial,
		log:    log,
		bounds: bounds.NewBounds(),
	})
}

func newMesh(s settings) *Mesh {
	m := &Mesh{
		settings: s,
		handlers: make(map[string]func(ctx context.Context, s *strm.Stream) error),
		links:    make(map[string]*link),
	}
	m.secrets.Store(&s.keys)
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// with returns an unused mesh with the same handlers and other settings.
func (m *Mesh) with(s settings) *Mesh {
	next := newMesh(s)
	maps.Copy(next.handlers, m.handlers)
	return next
}

// WithEpoch returns a mesh with another epoch: what tells this start of the node from its others.
func (m *Mesh) WithEpoch(epoch string) *Mesh {
	s := m.settings
	s.self.Epoch = epoch
	return m.with(s)
}

// WithAddr returns a mesh that tells its peers this address to reach it at.
func (m *Mesh) WithAddr(addr string) *Mesh {
	s := m.settings
	s.self = s.self.WithAddr(addr)
	return m.with(s)
}

// WithVersions returns a mesh that speaks another range of protocol versions.
func (m *Mesh) WithVersions(oldest, newest int) *Mesh {
	s := m.settings
	s.self = s.self.WithVersions(oldest, newest)
	return m.with(s)
}

// WithBounds returns a mesh with other sizes and times.
func (m *Mesh) WithBounds(b bounds.Bounds) *Mesh {
	s := m.settings
	s.bounds = b
	return m.with(s)
}

// Rekey changes the secrets for the handshakes that begin from now on. Connections that are open stay.
func (m *Mesh) Rekey(secrets [][]byte) {
	m.secrets.Store(&secrets)
}

// Close ends all connections, dials and handlers and returns when they have ended.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.work.Wait()
}

// begin runs work that Close waits for; it returns false on a closed mesh.
func (m *Mesh) begin(work func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.work.Go(work)
	return true
}
