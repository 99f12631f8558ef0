package engine

import (
	"context"
	"net"
)

type callKey struct{}

// withCall makes ctx known to the dial that a request may need.
func withCall(ctx context.Context) context.Context {
	return context.WithValue(ctx, callKey{}, ctx)
}

// opener returns a dial for the transport that ends with the call it is for. The transport by itself lets a dial go on
// when its call has ended, so that dials to a host that is gone would pile up with every call given up.
func opener(addr string, dial func(ctx context.Context, addr string) (net.Conn, error)) func(ctx context.Context, network, target string) (net.Conn, error) {
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTime)
		defer cancel()
		if call, ok := ctx.Value(callKey{}).(context.Context); ok {
			defer context.AfterFunc(call, cancel)()
		}
		conn, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return &wire{Conn: conn}, nil
	}
}
