// Package peer lets nodes ask each other things, over one connection for each address.
package peer

import (
	"context"
	"crypto/rand"
	"net"
	"sync"

	"go.uber.org/zap"

	"damaskreach/internal/bounds"
	"damaskreach/internal/hello"
	"damaskreach/internal/strm"
)

// Mesh is a node's side of all its connections. Its methods may be called from several goroutines, but for Handle,
// Answer and the With methods, which belong before Serve and the first Open.
type Mesh struct {
	self     hello.Hello
	secrets  [][]byte
	dial     func(ctx context.Context, addr string) (net.Conn, error)
	log      *zap.Logger
	bounds   bounds.Bounds
	handlers map[string]func(ctx context.Context, s *strm.Stream) error
	ctx      context.Context // ends with Close; dials and connections live in it
	cancel   context.CancelFunc
	work     sync.WaitGroup

	mu    sync.Mutex
	links map[string]*link
}

// NewMesh returns the mesh of node self, which proves itself with the first of the secrets and accepts peers that
// know any of them. Each mesh has an epoch of its own unless WithEpoch sets it.
func NewMesh(
	self string, secrets [][]byte, dial func(ctx context.Context, addr string) (net.Conn, error), log *zap.Logger,
) *Mesh {
	m := &Mesh{
		self:     hello.NewHello(self, rand.Text()),
		secrets:  secrets,
		dial:     dial,
		log:      log,
		bounds:   bounds.NewBounds(),
		handlers: make(map[string]func(ctx context.Context, s *strm.Stream) error),
		links:    make(map[string]*link),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// WithEpoch sets what tells this start of the node from others and returns the mesh.
func (m *Mesh) WithEpoch(epoch string) *Mesh {
	m.self.Epoch = epoch
	return m
}

// WithAddr sets the address that peers are told this node is reached at and returns the mesh.
func (m *Mesh) WithAddr(addr string) *Mesh {
	m.self = m.self.WithAddr(addr)
	return m
}

// WithBounds sets sizes and times and returns the mesh.
func (m *Mesh) WithBounds(b bounds.Bounds) *Mesh {
	m.bounds = b
	return m
}

// WithVersions sets the range of protocol versions it speaks and returns the mesh.
func (m *Mesh) WithVersions(oldest, newest int) *Mesh {
	m.self = m.self.WithVersions(oldest, newest)
	return m
}

// Close ends all connections, dials and handlers and returns when they have ended.
func (m *Mesh) Close() {
	m.cancel()
	m.work.Wait()
}
