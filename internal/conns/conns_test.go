package conns_test

import (
	"net"
	"testing"

	"damaskreach/internal/conns"
)

// A host that leaves closes its idle connections just as a request arrives on one. Passed on, the request would run and
// its caller would see a closed connection; it is dropped instead, and the caller sends it elsewhere.
func TestRequestThatCrossesTheCloseIsNotPassedOn(t *testing.T) {
	var c conns.Conns
	near, far := net.Pipe()
	defer far.Close()
	ctx := c.Context(t.Context(), near)
	c.CloseIdle(0)
	if _, ok := c.Enter(ctx); ok {
		t.Error("the request was taken after the close, want it dropped")
	}
}

// A request is under way when idle connections are closed. Its connection stays until it is answered.
func TestBusyConnectionIsNotClosed(t *testing.T) {
	var c conns.Conns
	near, far := net.Pipe()
	defer far.Close()
	ctx := c.Context(t.Context(), near)
	leave, ok := c.Enter(ctx)
	if !ok {
		t.Fatal("the request was not taken, want it taken")
	}
	if got, want := c.CloseIdle(0), 1; got != want {
		t.Errorf("connections left = %d, want %d", got, want)
	}
	leave()
	if got, want := c.CloseIdle(0), 0; got != want {
		t.Errorf("connections left = %d, want %d", got, want)
	}
}
