package engine

import (
	"context"
	"net"
)

type callKey struct{}

// withCall stores ctx in its own values, where the dial for a request finds it.
func withCall(ctx context.Context) context.Context {
	return context.WithValue(ctx, callKey{}, ctx)
}

// newDialFunc returns a dial function for http.Transport that stops when the request's context ends. The transport
// itself lets such a dial continue, so dials to a dead host would pile up with every cancelled request.
func newDialFunc(addr string, dial func(ctx context.Context, addr string) (net.Conn, error)) func(ctx context.Context, network, target string) (net.Conn, error) {
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		if call, ok := ctx.Value(callKey{}).(context.Context); ok {
			defer context.AfterFunc(call, cancel)()
		}
		conn, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
}
