package peer

import (
	"context"
	"net"
	"runtime/debug"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"damaskreach/internal/strm"
	"damaskreach/internal/ticker"
	"damaskreach/internal/wire"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// UnknownMethod is the code of the refusal of a method that this release of a node does not have.
const UnknownMethod = "unknown-method"

// pauseAccept is the wait after a listener failed, for instance for want of file descriptors.
const pauseAccept = 50 * time.Millisecond

// Handle registers serve for the streams peers open with method; their first message is the question.
// The stream ends when serve returns: cleanly for nil, else with the error, which the peer receives.
// The context ends with the stream or its connection.
func (m *Mesh) Handle(method string, serve func(ctx context.Context, s *strm.Stream) error) {
	m.handlers[method] = serve
}

// Serve accepts connections until ctx ends, then closes the whole mesh and returns nil.
// It returns an error when the listener is closed by someone else.
func (m *Mesh) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		m.cancel()
		l.Close()
	})
	defer stop()
	defer m.Close()
	defer l.Close()
	for {
		nc, err := l.Accept()
		if err == nil {
			if !m.begin(func() { m.accept(nc) }) {
				nc.Close()
			}
			continue
		}
		if m.ctx.Err() != nil {
			return nil
		}
		if !temporary(err) {
			return merry.Prependf(err, "accepting connections at %s", l.Addr())
		}
		m.log.Warn("accepting a connection failed", zap.Error(err))
		ticker.Sleep(m.ctx, pauseAccept)
	}
}

// accept runs one connection that a peer dialled.
func (m *Mesh) accept(nc net.Conn) {
	done := m.addPending(nc)
	c, err := wire.Accept(m.ctx, nc, m.self, *m.secrets.Load(), m.bounds, m.serve)
	done()
	if err != nil {
		m.log.Warn("refused a connection", zap.Stringer("from", nc.RemoteAddr()), zap.Error(err))
		return
	}
	m.log.Info("peer connected", zap.String("peer", c.Peer().ID), zap.Stringer("from", nc.RemoteAddr()))
	<-c.Done()
	m.log.Info("peer disconnected", zap.String("peer", c.Peer().ID), zap.Error(c.Err()))
	c.Wait()
}

// serve runs the handler of one stream. A panic ends only this stream: without the recovery one request that meets a
// fault in a handler would end every request of the node.
func (m *Mesh) serve(s *strm.Stream, method string) (err error) {
	handler, ok := m.handlers[method]
	if !ok {
		return refuse.NewRefusal(verd.NotRun, UnknownMethod, "node %s has no method %q", m.self.ID, method)
	}
	defer func() {
		if r := recover(); r != nil {
			m.log.Error("handler panicked", zap.String("method", method), zap.Any("panic", r), zap.ByteString("stack", debug.Stack()))
			err = refuse.NewRefusal(verd.MayHaveRun, refuse.Internal, "handler of %s failed", method)
		}
	}()
	return handler(s.Context(), s)
}
