package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/bounds"
	"damaskreach/internal/hello"
	"damaskreach/internal/peer"
	"damaskreach/internal/strm"
	"damaskreach/internal/wire"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// name answers with the id of its node.
func name(m *peer.Mesh, id string) *peer.Mesh {
	peer.Answer(m, "name", func(context.Context, string, int) (string, error) { return id, nil })
	return m
}

func askName(ctx context.Context, m *peer.Mesh, id, addr string) (string, error) {
	var got string
	err := m.AskTo(ctx, id, addr, "name", 0, &got)
	return got, err
}

// A host is replaced and the new node gets its address, while requests run on the old one. Callers that mean the old
// node must not reach the new one, callers that mean the new one must not be held by the old connection, and what
// runs on that goes on.
func TestNodeReplacedAtItsAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlane()
		old := name(newMesh(p, "old"), "old")
		old.Handle("echo", func(ctx context.Context, s *strm.Stream) error {
			var n int
			for s.Recv(ctx, &n) == nil {
				if err := s.Send(ctx, n); err != nil {
					return err
				}
			}
			return nil
		})
		defer serve(t, old, p.listen("x:1"))()
		a := newMesh(p, "a")
		defer a.Close()
		running, err := a.OpenTo(t.Context(), "old", "x:1", "echo", 1)
		if err != nil {
			t.Fatalf("OpenTo: got %v, want nil", err)
		}
		defer serve(t, name(newMesh(p, "new"), "new"), p.listen("x:1"))()

		if got, err := askName(t.Context(), a, "new", "x:1"); got != "new" {
			t.Errorf("asking the new node: got %q, %v", got, err)
		}
		_, err = askName(t.Context(), a, "old", "x:1")
		wantErr(t, "asking the old node", err, peer.ErrReplaced, verd.NotRun)
		for range 100 {
			_, err = askName(t.Context(), a, "old", "x:1")
			wantErr(t, "asking the old node again", err, peer.ErrReplaced, verd.NotRun)
		}
		synctest.Wait()
		if got := p.open(); got != 2 {
			t.Errorf("got %d open connections, want 2: of the old and the new node", got)
		}
		if got, err := askName(t.Context(), a, "", "x:1"); got != "new" {
			t.Errorf("asking anyone: got %q, %v", got, err)
		}
		var n int
		if err := running.Recv(t.Context(), &n); err != nil || n != 1 {
			t.Errorf("Recv on the old connection: got %d, %v, want 1", n, err)
		}
		if err := running.Send(t.Context(), 2); err != nil {
			t.Errorf("Send on the old connection: got %v, want nil", err)
		}
		if err := running.Recv(t.Context(), &n); err != nil || n != 2 {
			t.Errorf("Recv on the old connection: got %d, %v, want 2", n, err)
		}
	})
}

// A node of another site, or one whose settings were not rotated, is asked. The caller must learn at once that its
// request did not run, and that this address is down.
func TestStrangersStayApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlane()
		defer serve(t, name(newMesh(p, "b"), "b"), p.listen("b:1"))()
		stranger := peer.NewMesh("a", [][]byte{[]byte("another site")}, p.dial, zap.NewNop())
		defer stranger.Close()
		_, err := askName(t.Context(), stranger, "", "b:1")
		wantErr(t, "asking with another secret", err, nil, verd.NotRun)
		if !stranger.Down("b:1") {
			t.Errorf("Down: got false, want true")
		}
	})
}

// Two releases run side by side during an upgrade: they work together where their versions overlap, and where they do
// not, requests are not-run.
func TestReleasesSideBySide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlane()
		defer serve(t, name(newMesh(p, "b").WithVersions(2, 3), "b"), p.listen("b:1"))()
		near := newMesh(p, "near").WithVersions(1, 2)
		defer near.Close()
		if got, err := askName(t.Context(), near, "", "b:1"); got != "b" {
			t.Errorf("asking with versions that overlap: got %q, %v", got, err)
		}
		far := newMesh(p, "far").WithVersions(1, 1)
		defer far.Close()
		_, err := askName(t.Context(), far, "", "b:1")
		wantErr(t, "asking with an older version", err, hello.ErrRejected, verd.NotRun)
	})
}

// A node is unreachable for a while. Requests to it must fail at once instead of waiting for a dial each, and when it
// is back it must be found again, also by callers that avoid addresses that are down.
func TestUnreachableNodeIsFoundAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlane()
		dials := 0
		dial := func(ctx context.Context, addr string) (net.Conn, error) {
			dials++
			return p.dial(ctx, addr)
		}
		a := peer.NewMesh("a", secrets, dial, zap.NewNop())
		defer a.Close()
		_, err := askName(t.Context(), a, "", "b:1")
		wantErr(t, "first try", err, nil, verd.NotRun)
		for range 100 {
			_, err := askName(t.Context(), a, "", "b:1")
			wantErr(t, "try at once", err, peer.ErrBackoff, verd.NotRun)
		}
		if dials != 1 {
			t.Errorf("got %d dials, want 1", dials)
		}
		defer serve(t, name(newMesh(p, "b"), "b"), p.listen("b:1"))()
		start := time.Now()
		for a.Down("b:1") {
			time.Sleep(time.Millisecond)
		}
		if got, want := time.Since(start), bounds.NewBounds().Most; got > want {
			t.Errorf("found again after %v, want at most %v", got, want)
		}
		if got, err := askName(t.Context(), a, "", "b:1"); got != "b" {
			t.Errorf("asking again: got %q, %v", got, err)
		}
	})
}

// A host dies in the middle of a request, and comes back. The request may have run; the next one is answered.
func TestCutConnectionIsDialledAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlane()
		b := name(newMesh(p, "b"), "b")
		b.Handle("wait", func(ctx context.Context, _ *strm.Stream) error {
			<-ctx.Done()
			return nil
		})
		defer serve(t, b, p.listen("b:1"))()
		a := newMesh(p, "a")
		defer a.Close()
		s, err := a.Open(t.Context(), "b:1", "wait", 0)
		if err != nil {
			t.Fatalf("Open: got %v, want nil", err)
		}
		synctest.Wait()
		p.cut()
		wantErr(t, "Recv", s.Recv(t.Context(), new(int)), nil, verd.MayHaveRun)
		synctest.Wait()
		if !a.Down("b:1") {
			t.Errorf("Down: got false, want true")
		}
		if got, err := askName(t.Context(), a, "", "b:1"); got != "b" {
			t.Errorf("asking again: got %q, %v", got, err)
		}
		if a.Down("b:1") {
			t.Errorf("Down after an answer: got true, want false")
		}
	})
}

// The first of two callers gives up while the dial is under way. The other must still get its connection, and a dial
// that never ends must not hold either for longer than its timeout.
func TestDialOutlivesItsFirstCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlane()
		dial := func(ctx context.Context, addr string) (net.Conn, error) {
			if addr == "never:1" {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			time.Sleep(time.Second)
			return p.dial(ctx, addr)
		}
		defer serve(t, name(newMesh(p, "b"), "b"), p.listen("b:1"))()
		a := peer.NewMesh("a", secrets, dial, zap.NewNop())
		defer a.Close()
		impatient, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := askName(impatient, a, "", "b:1")
		wantErr(t, "the impatient caller", err, context.DeadlineExceeded, verd.NotRun)
		if got, err := askName(t.Context(), a, "", "b:1"); got != "b" {
			t.Errorf("the patient caller: got %q, %v", got, err)
		}
		start := time.Now()
		_, err = askName(t.Context(), a, "", "never:1")
		wantErr(t, "a dial without end", err, nil, verd.NotRun)
		if got, want := time.Since(start), bounds.NewBounds().Dial; got != want {
			t.Errorf("failed after %v, want %v", got, want)
		}
	})
}

// A handler meets a fault, or a method that only a newer release has is asked for. Only that request fails; the node
// and its other requests go on.
func TestFaultyAndUnknownMethods(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlane()
		b := name(newMesh(p, "b"), "b")
		peer.Answer(b, "panic", func(context.Context, string, int) (int, error) { panic("fault") })
		b.Handle("nothing", func(context.Context, *strm.Stream) error { return nil })
		defer serve(t, b, p.listen("b:1"))()
		a := newMesh(p, "a")
		defer a.Close()
		var n int
		wantCode(t, "panic", a.Ask(t.Context(), "b:1", "panic", 0, &n), refuse.Internal, verd.MayHaveRun)
		wantCode(t, "newer", a.Ask(t.Context(), "b:1", "newer", 0, &n), peer.UnknownMethod, verd.NotRun)
		wantErr(t, "nothing", a.Ask(t.Context(), "b:1", "nothing", 0, &n), nil, verd.MayHaveRun)
		if got, err := askName(t.Context(), a, "", "b:1"); got != "b" {
			t.Errorf("asking again: got %q, %v", got, err)
		}
	})
}

// A node shuts down. Its handlers' contexts end, what they answer still reaches the callers, and Serve returns only
// when all of it has ended. A caller's deadline ends its request at both nodes.
func TestShutdownAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlane()
		b := newMesh(p, "b")
		ended := 0
		peer.Answer(b, "wait", func(ctx context.Context, _ string, _ int) (int, error) {
			<-ctx.Done()
			ended++
			return 0, refuse.NewRefusal(verd.NotRun, refuse.Leaving, "had not started")
		})
		stop := serve(t, b, p.listen("b:1"))
		a := newMesh(p, "a")
		defer a.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := a.Ask(ctx, "b:1", "wait", 0, new(int))
		wantErr(t, "Ask with a deadline", err, context.DeadlineExceeded, verd.MayHaveRun)
		synctest.Wait()
		if ended != 1 {
			t.Errorf("handlers ended by the deadline: got %d, want 1", ended)
		}
		answer := make(chan error, 1)
		go func() { answer <- a.Ask(t.Context(), "b:1", "wait", 0, new(int)) }()
		synctest.Wait()
		stop()
		wantCode(t, "Ask during the shutdown", <-answer, refuse.Leaving, verd.NotRun)
		a.Close()
		_, err = a.Open(t.Context(), "b:1", "wait", 0)
		wantErr(t, "Open after Close", err, wire.ErrClosed, verd.NotRun)
	})
}

// The whole path over real sockets: pipes have no buffers and close at once, sockets do neither.
func TestOverTCP(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("Listen: got %v, want nil", err)
	}
	b := name(peer.NewMesh("b", secrets, nil, zap.NewNop()), "b")
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
	s, err := a.Open(t.Context(), l.Addr().String(), "count", 0)
	if err != nil {
		t.Fatalf("Open: got %v, want nil", err)
	}
	var n, got int
	for err = s.Recv(t.Context(), &n); err == nil && n == got; err = s.Recv(t.Context(), &n) {
		got++
	}
	if got != 1000 || !errors.Is(err, io.EOF) {
		t.Errorf("got %d messages and %v, want 1000 and EOF", got, err)
	}
	if got, err := askName(t.Context(), a, "b", l.Addr().String()); got != "b" {
		t.Errorf("asking: got %q, %v", got, err)
	}
	stop()
	_, err = askName(t.Context(), a, "b", l.Addr().String())
	wantErr(t, "asking after the shutdown", err, nil, verd.NotRun)
}
