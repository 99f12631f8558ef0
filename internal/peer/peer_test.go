package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"

	"go.uber.org/zap"

	"damaskreach/internal/peer"
	"damaskreach/internal/strm"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

type question struct {
	Text string `msgpack:"text"`
}

func TestAskAndOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNet()
		b := newMesh(n, "b")
		peer.Answer(b, "say", func(_ context.Context, from string, q question) (question, error) {
			if q.Text == "no" {
				return question{}, refuse.NewRefusal(verd.NotRun, refuse.Limited, "no")
			}
			return question{Text: from + " said " + q.Text}, nil
		})
		defer serve(t, b, listen(t, n, addrB))()
		a := newMesh(n, "a")
		defer a.Close()
		var got question
		if err := a.Ask(t.Context(), addrB, "say", question{Text: "hi"}, &got); err != nil || got.Text != "a said hi" {
			t.Errorf("Ask: got %q, %v, want %q", got.Text, err, "a said hi")
		}
		err := a.Ask(t.Context(), addrB, "say", question{Text: "no"}, &got)
		wantCode(t, "Ask that is refused", err, refuse.Limited, verd.NotRun)
		s, err := a.Open(t.Context(), addrB, "echo", 0)
		if err != nil || s.Peer() != "b" {
			t.Fatalf("Open: got %v, want a stream of node b", err)
		}
		for i := range 1000 {
			wantEcho(t, s, i)
			if err := s.Send(t.Context(), i+1); err != nil {
				t.Fatalf("Send: got %v, want nil", err)
			}
		}
		if err := s.CloseSend(); err != nil {
			t.Errorf("CloseSend: got %v, want nil", err)
		}
		wantEcho(t, s, 1000)
		if err := s.Recv(t.Context(), new(int)); !errors.Is(err, io.EOF) {
			t.Errorf("Recv at the end: got %v, want EOF", err)
		}
		wantDown(t, a, addrB, false)
	})
}

// The whole path over real sockets: pipes have no buffers and close at once, sockets do neither.
func TestOverTCP(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("Listen: got %v, want nil", err)
	}
	addr := l.Addr().String()
	b := newMesh(newNet(), "b")
	b.Handle("count", func(ctx context.Context, s *strm.Stream) error {
		for i := range 1000 {
			if err := s.Send(ctx, i); err != nil {
				return err
			}
		}
		return nil
	})
	stop := serve(t, b, l)
	var d net.Dialer
	a := peer.NewMesh("a", secrets, func(ctx context.Context, addr string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", addr)
	}, zap.NewNop())
	defer a.Close()
	s, err := a.Open(t.Context(), addr, "count", 0)
	if err != nil {
		t.Fatalf("Open: got %v, want nil", err)
	}
	for i := range 1000 {
		wantEcho(t, s, i)
	}
	if err := s.Recv(t.Context(), new(int)); !errors.Is(err, io.EOF) {
		t.Errorf("Recv at the end: got %v, want EOF", err)
	}
	wantName(t, a, "b", addr, "b")
	stop()
	_, err = askName(t.Context(), a, "b", addr)
	wantErr(t, "asking after the shutdown", err, nil, verd.NotRun)
}
