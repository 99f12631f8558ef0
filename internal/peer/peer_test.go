package peer_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

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
		p := newPlane()
		b := newMesh(p, "b")
		peer.Answer(b, "echo", func(_ context.Context, from string, q question) (question, error) {
			if q.Text == "no" {
				return question{}, refuse.NewRefusal(verd.NotRun, refuse.Limited, "no").WithRetry(time.Second)
			}
			return question{Text: from + " said " + q.Text}, nil
		})
		b.Handle("count", func(ctx context.Context, s *strm.Stream) error {
			var n int
			if err := s.Recv(ctx, &n); err != nil {
				return err
			}
			for i := range n {
				if err := s.Send(ctx, i); err != nil {
					return err
				}
			}
			return nil
		})
		defer serve(t, b, p.listen("b:1"))()
		a := newMesh(p, "a")
		defer a.Close()
		var got question
		if err := a.Ask(t.Context(), "b:1", "echo", question{Text: "hi"}, &got); err != nil || got.Text != "a said hi" {
			t.Errorf("Ask: got %q, %v, want %q", got.Text, err, "a said hi")
		}
		err := a.Ask(t.Context(), "b:1", "echo", question{Text: "no"}, &got)
		var refusal *refuse.Refusal
		if !errors.As(err, &refusal) || refusal.Retry != time.Second || verd.Of(err) != verd.NotRun {
			t.Errorf("Ask: got %v, want the refusal whole", err)
		}
		s, err := a.Open(t.Context(), "b:1", "count", 10000)
		if err != nil {
			t.Fatalf("Open: got %v, want nil", err)
		}
		for i := range 10000 {
			var n int
			if err := s.Recv(t.Context(), &n); err != nil || n != i {
				t.Fatalf("Recv: got %d, %v, want %d", n, err, i)
			}
		}
		if err := s.Recv(t.Context(), new(int)); err != io.EOF {
			t.Errorf("Recv at the end: got %v, want EOF", err)
		}
		if _, err := a.Open(t.Context(), "c:1", "echo", 1); verd.Of(err) != verd.NotRun {
			t.Errorf("Open of nobody: got %v, %v, want not-run", err, verd.Of(err))
		}
		if !a.Down("c:1") || a.Down("b:1") {
			t.Errorf("Down: got %v, %v, want true, false", a.Down("c:1"), a.Down("b:1"))
		}
	})
}
