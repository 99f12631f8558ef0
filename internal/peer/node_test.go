package peer_test

import (
	"context"
	"errors"
	"net"
	"testing"

	"go.uber.org/zap"

	"damaskreach/internal/peer"
	"damaskreach/internal/stand/memnet"
	"damaskreach/internal/strm"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

var secrets = [][]byte{[]byte("a secret of the site")}

const (
	hostA = "10.0.0.1" // of all that dial
	hostB = "10.0.0.2"
	addrB = hostB + ":1"
)

// newNet returns a network without latency.
func newNet() *memnet.Net {
	n := memnet.NewNet(1)
	n.SetLatency(hostA, hostB, 0)
	return n
}

func listen(t *testing.T, n *memnet.Net, addr string) net.Listener {
	t.Helper()
	l, err := n.Listen(addr)
	if err != nil {
		t.Fatalf("Listen: got %v, want nil", err)
	}
	return l
}

// newMesh returns the mesh of a node that answers "name" with its id and echoes numbers on "echo".
func newMesh(n *memnet.Net, id string) *peer.Mesh {
	m := peer.NewMesh(id, secrets, n.Dial(hostA), zap.NewNop())
	peer.Answer(m, "name", func(context.Context, string, int) (string, error) { return id, nil })
	m.Handle("echo", func(ctx context.Context, s *strm.Stream) error {
		var n int
		for s.Recv(ctx, &n) == nil {
			if err := s.Send(ctx, n); err != nil {
				return err
			}
		}
		return nil
	})
	return m
}

// serve runs a mesh until the function it returns is called.
func serve(t *testing.T, m *peer.Mesh, l net.Listener) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := m.Serve(ctx, l); err != nil {
			t.Errorf("Serve: got %v, want nil", err)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

func askName(ctx context.Context, m *peer.Mesh, id, addr string) (string, error) {
	var got string
	err := m.AskTo(ctx, id, addr, "name", 0, &got)
	return got, err
}

// wantName checks which node answers.
func wantName(t *testing.T, m *peer.Mesh, id, addr, want string) {
	t.Helper()
	if got, err := askName(t.Context(), m, id, addr); got != want || err != nil {
		t.Errorf("asking node %q at %s: got %q, %v, want %q", id, addr, got, err, want)
	}
}

// wantEcho checks the next number of a stream.
func wantEcho(t *testing.T, s *strm.Stream, want int) {
	t.Helper()
	var got int
	if err := s.Recv(t.Context(), &got); err != nil || got != want {
		t.Errorf("Recv: got %d, %v, want %d", got, err, want)
	}
}

func wantDown(t *testing.T, m *peer.Mesh, addr string, want bool) {
	t.Helper()
	if got := m.Down(addr); got != want {
		t.Errorf("Down(%s): got %v, want %v", addr, got, want)
	}
}

// wantErr checks an error and its verdict; a nil target stands for any error.
func wantErr(t *testing.T, what string, err, target error, verdict verd.Verdict) {
	t.Helper()
	if err == nil || verd.Of(err) != verdict || target != nil && !errors.Is(err, target) {
		t.Errorf("%s: got %v, %v, want %v, %v", what, err, verd.Of(err), target, verdict)
	}
}

// wantCode checks that an error carries a refusal of a code and verdict.
func wantCode(t *testing.T, what string, err error, code string, verdict verd.Verdict) {
	t.Helper()
	var refusal *refuse.Refusal
	if !errors.As(err, &refusal) || refusal.Code != code || verd.Of(err) != verdict {
		t.Errorf("%s: got %v, %v, want %s, %v", what, err, verd.Of(err), code, verdict)
	}
}
