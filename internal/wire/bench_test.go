package wire_test

import (
	"context"
	"net"
	"testing"

	"damaskreach/internal/bounds"
	"damaskreach/internal/hello"
	"damaskreach/internal/strm"
	"damaskreach/internal/wire"
)

type token struct {
	Number int    `msgpack:"number"`
	Text   []byte `msgpack:"text"`
}

// overTCP returns both sides of a connection over a real socket; the second serves with serve.
func overTCP(tb testing.TB, serve func(s *strm.Stream, method string) error) (dialled, accepted *wire.Conn) {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatalf("Listen: got %v, want nil", err)
	}
	defer l.Close()
	far := make(chan *wire.Conn, 1)
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		c, _ := wire.Accept(context.Background(), nc, hello.NewHello("b", "1"), secrets, bounds.NewBounds(), serve)
		far <- c
	}()
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		tb.Fatalf("Dial: got %v, want nil", err)
	}
	near, err := wire.Dial(context.Background(), nc, hello.NewHello("a", "1"), secrets, bounds.NewBounds(), nil)
	if err != nil {
		tb.Fatalf("wire.Dial: got %v, want nil", err)
	}
	tb.Cleanup(near.Close)
	return near, <-far
}

// sendTokens is a handler that sends as many small messages as the question says.
func sendTokens(s *strm.Stream, _ string) error {
	var n int
	if err := s.Recv(s.Context(), &n); err != nil {
		return err
	}
	t := token{Text: []byte("a word or two")}
	for i := range n {
		t.Number = i
		if err := s.Send(s.Context(), &t); err != nil {
			return err
		}
	}
	return nil
}

// BenchmarkStream measures one small message from Send to Recv over TCP on one stream.
func BenchmarkStream(b *testing.B) {
	c, _ := overTCP(b, sendTokens)
	b.ReportAllocs()
	b.ResetTimer()
	s, err := c.Open(b.Context(), "tokens", b.N, true)
	if err != nil {
		b.Fatalf("Open: got %v, want nil", err)
	}
	var t token
	for range b.N {
		if err := s.Recv(b.Context(), &t); err != nil {
			b.Fatalf("Recv: got %v, want nil", err)
		}
	}
}

// BenchmarkStreams is the same with 64 streams at once on one connection.
func BenchmarkStreams(b *testing.B) {
	const streams = 64
	c, _ := overTCP(b, sendTokens)
	each := b.N/streams + 1
	b.ReportAllocs()
	b.ResetTimer()
	done := make(chan error, streams)
	for range streams {
		go func() { done <- drain(b, c, each) }()
	}
	for range streams {
		if err := <-done; err != nil {
			b.Fatalf("reading a stream: got %v, want nil", err)
		}
	}
}

func drain(b *testing.B, c *wire.Conn, n int) error {
	s, err := c.Open(b.Context(), "tokens", n, true)
	if err != nil {
		return err
	}
	var t token
	for range n {
		if err := s.Recv(b.Context(), &t); err != nil {
			return err
		}
	}
	return nil
}

// BenchmarkAsk measures one question with one answer over TCP, one after the other.
func BenchmarkAsk(b *testing.B) {
	c, _ := overTCP(b, sendTokens)
	b.ReportAllocs()
	for b.Loop() {
		if err := drain(b, c, 1); err != nil {
			b.Fatalf("asking: got %v, want nil", err)
		}
	}
}
