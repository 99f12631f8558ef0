package relay_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"go.uber.org/zap"

	"damaskreach/internal/call"
	"damaskreach/internal/digest"
	"damaskreach/internal/peer"
	"damaskreach/internal/relay"
	"damaskreach/internal/stand/memnet"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	hostA = "10.0.0.1"
	hostB = "10.0.0.2"
	addrB = hostB + ":1"
)

// answer is what a caller received.
type answer struct {
	status int
	kind   string
	tokens []int
	pieces []string
}

func (a *answer) head(status int, kind string) error {
	a.status, a.kind = status, kind
	return nil
}

func (a *answer) emit(token int, piece []byte) error {
	a.tokens = append(a.tokens, token)
	a.pieces = append(a.pieces, string(piece))
	return nil
}

func newRelay(n *memnet.Net, host string) *relay.Relay {
	mesh := peer.NewMesh(host, [][]byte{[]byte("a shared key")}, n.Dial(host), zap.NewNop())
	return &relay.Relay{Mesh: mesh, Self: func() string { return host }}
}

// run sends a call from host A to its owner at host B, where local answers it.
func run(t *testing.T, local func(head func(int, string) error, emit func(int, []byte) error) error) (got answer, err error) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.NewNet(1)
		a, b := newRelay(n, hostA), newRelay(n, hostB)
		b.Local = func(
			_ context.Context, runner string, fence int64, c call.Call,
			head func(int, string) error, emit func(int, []byte) error,
		) error {
			if runner != "r" || fence != 7 || string(c.Body) != "question" {
				t.Errorf("Local: got %q, %d, %q", runner, fence, c.Body)
			}
			return local(head, emit)
		}
		b.Register()
		l, failed := n.Listen(addrB)
		if failed != nil {
			t.Fatal(failed)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- b.Mesh.Serve(ctx, l) }()
		d := digest.Digest{Runner: "r", Owner: hostB, Addr: addrB, Fence: 7}
		err = a.Run(t.Context(), d, call.Call{Body: []byte("question")}, got.head, got.emit)
		a.Mesh.Close()
		cancel()
		if failed := <-done; failed != nil {
			t.Errorf("Serve: got %v, want nil", failed)
		}
	})
	return got, err
}

// Both sides reuse the memory of pieces of any length. None may show bytes of another.
func TestAnswerArrivesUnchanged(t *testing.T) {
	var want answer
	want.head(200, "text/event-stream")
	for i := range 300 {
		want.emit(i+1, fmt.Appendf(nil, "%0*d", i*7919%601, i))
	}
	got, err := run(t, func(head func(int, string) error, emit func(int, []byte) error) error {
		if err := head(want.status, want.kind); err != nil {
			return err
		}
		var piece []byte
		for i, token := range want.tokens {
			piece = append(piece[:0], want.pieces[i]...)
			if err := emit(token, piece); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil || got.status != want.status || got.kind != want.kind {
		t.Errorf("got %d %q, %v, want %d %q", got.status, got.kind, err, want.status, want.kind)
	}
	if !slices.Equal(got.tokens, want.tokens) || !slices.Equal(got.pieces, want.pieces) {
		t.Errorf("got %d pieces, want the %d given", len(got.pieces), len(want.pieces))
	}
}

// The owner fails after half an answer. The caller's node must get the reason and whether the call ran, after that half.
func TestFailedAnswerKeepsVerdict(t *testing.T) {
	got, err := run(t, func(head func(int, string) error, emit func(int, []byte) error) error {
		_ = head(200, "text/plain")
		_ = emit(1, []byte("half"))
		return refuse.NewRefusal(verd.MayHaveRun, refuse.Internal, "the engine broke off")
	})
	var refusal *refuse.Refusal
	if !errors.As(err, &refusal) || refusal.Code != refuse.Internal || verd.Of(err) != verd.MayHaveRun {
		t.Errorf("got %v, want %s and may-have-run", err, refuse.Internal)
	}
	if want := []string{"half"}; !slices.Equal(got.pieces, want) {
		t.Errorf("got %q, want %q", got.pieces, want)
	}
}
