package wire_test

import (
	"context"
	"net"
	"testing"

	"damaskreach/internal/bounds"
	"damaskreach/internal/strm"
	"damaskreach/internal/wire"
)

type token struct {
	Number int    `msgpack:"number"`
	Text   []byte `msgpack:"text"`
}

// overTCP returns the dialling side of a connection over a real socket.
func overTCP(tb testing.TB, serve func(s *strm.Stream, method string) error) *wire.Conn {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatalf("Listen: got %v, want nil", err)
	}
	defer l.Close()
	near, far := ends(tb, l, func(ctx context.Context, addr string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", addr)
	})
	c, _ := connect(tb, near, far, bounds.NewBounds(), serve)
	return c
}

// sendTokens is a handler that sends as many small messages as the question says.
func sendTokens(s *strm.Stream, _ string) error {
	var n int
	if err := s.Recv(s.Context(), &n); err != nil {
		return err
	}
	t := token{Text: []byte("a word or two")}
	for t.Number = range n {
		if err := s.Send(s.Context(), &t); err != nil {
			return err
		}
	}
	return nil
}

// readTokens opens a stream of n small messages and reads them.
func readTokens(b *testing.B, c *wire.Conn, n int) {
	s, err := c.Open(b.Context(), "tokens", n, true)
	if err != nil {
		b.Errorf("Open: got %v, want nil", err)
		return
	}
	var t token
	for range n {
		if err := s.Recv(b.Context(), &t); err != nil {
			b.Errorf("Recv: got %v, want nil", err)
			return
		}
	}
}

// BenchmarkStream measures one small message from Send to Recv over TCP on one stream.
func BenchmarkStream(b *testing.B) {
	c := overTCP(b, sendTokens)
	b.ReportAllocs()
	b.ResetTimer()
	readTokens(b, c, b.N)
}

// BenchmarkStreams is the same with many streams at once on one connection.
func BenchmarkStreams(b *testing.B) {
	const streams = 64
	c := overTCP(b, sendTokens)
	b.ReportAllocs()
	b.ResetTimer()
	done := make(chan struct{})
	for range streams {
		go func() {
			defer func() { done <- struct{}{} }()
			readTokens(b, c, b.N/streams+1)
		}()
	}
	for range streams {
		<-done
	}
}

// BenchmarkAsk measures one question with one answer over TCP, one after the other.
func BenchmarkAsk(b *testing.B) {
	c := overTCP(b, sendTokens)
	b.ReportAllocs()
	for b.Loop() {
		readTokens(b, c, 1)
	}
}
