package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
)

const (
	headerTimeout = 10 * time.Second // for a caller to send a request's headers
	idleTimeout   = 2 * time.Minute  // of a caller's connection between requests
	headerRoom    = 2                // times max-header, above which net/http refuses by itself, in plain text and without a verdict
)

// serve opens the node's three addresses: for other nodes, callers and operators.
func (n *Node) serve(ctx context.Context) error {
	n.home.Register()
	n.relay.Register()
	n.share.Register()
	n.grant.Register()
	n.extend.Register()
	n.claim.Register()
	n.suspect.Register()
	n.ledger.Register()
	n.asker.Register()
	n.admit.Register()
	n.registerBusy()
	lis, err := n.Listen(n.Conf.ListenAddr())
	if err != nil {
		return merry.Prependf(err, "opening the address for other nodes")
	}
	n.ports.Go(func() {
		if err := n.mesh.Serve(ctx, lis); err != nil && ctx.Err() == nil {
			n.Log.Error("serving other nodes ended", zap.Error(err))
		}
	})
	if n.callers, err = n.serveHTTP(ctx, n.Conf.HTTP, n.entry.Handler()); err != nil {
		return merry.Prependf(err, "opening the address for callers")
	}
	if _, err = n.serveHTTP(ctx, n.Conf.Admin, n.admin.Handler()); err != nil {
		return merry.Prependf(err, "opening the address for operators")
	}
	return nil
}

func (n *Node) serveHTTP(ctx context.Context, addr string, h http.Handler) (*http.Server, error) {
	lis, err := n.Listen(addr)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerRoom * n.Conf.MaxHeader,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ErrorLog:          zap.NewStdLog(n.Log),
	}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	n.ports.Go(func() {
		if err := server.Serve(lis); err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.Log.Error("serving HTTP ended", zap.String("addr", addr), zap.Error(err))
		}
	})
	return server, nil
}

// start begins the node's own work. The session is written only once the addresses are open: a node that other
// nodes and callers can find must answer.
func (n *Node) start(ctx context.Context) {
	n.owner.Prepare(ctx)
	go n.loop.Run(ctx)
	go n.watch.Run(ctx)
	go n.follow.Run(ctx)
	go n.join(ctx)
	go n.owner.Follow(ctx)
	go n.extend.Run(ctx)
	go n.gather.Run(ctx)
	go n.suspect.Run(ctx)
	go n.ledger.Run(ctx)
	go n.claim.Sweep(ctx)
	go n.admit.Run(ctx)
}
