package peer_test

import (
	"context"
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

// A host is replaced and the new node gets its address, while requests run on the old one. Callers that mean the old
// node must not reach the new one, callers that mean the new one must not be held by the old connection, and what
// runs on that goes on.
func TestNodeReplacedAtItsAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNet()
		defer serve(t, newMesh(n, "old"), listen(t, n, addrB))()
		dials := 0
		a := peer.NewMesh("a", secrets, func(ctx context.Context, addr string) (net.Conn, error) {
			dials++
			return n.Dial(hostA)(ctx, addr)
		}, zap.NewNop())
		defer a.Close()
		running, err := a.OpenTo(t.Context(), "old", addrB, "echo", 1)
		if err != nil {
			t.Fatalf("OpenTo: got %v, want nil", err)
		}
		n.Detach(addrB)
		defer serve(t, newMesh(n, "new"), listen(t, n, addrB))()

		wantName(t, a, "new", addrB, "new")
		for range 100 {
			_, err = askName(t.Context(), a, "old", addrB)
			wantErr(t, "asking the old node", err, peer.ErrReplaced, verd.NotRun)
		}
		synctest.Wait()
		if got := n.Ends(); got != 2*2 || dials != 3 {
			t.Errorf("got %d open ends of %d connections, want 4 of 3: of the old and the new node", got, dials)
		}
		wantName(t, a, "", addrB, "new")
		wantEcho(t, running, 1)
		if err := running.Send(t.Context(), 2); err != nil {
			t.Errorf("Send on the old connection: got %v, want nil", err)
		}
		wantEcho(t, running, 2)
	})
}

// A node of another site, or one whose settings were not rotated, is asked. The caller must learn at once that its
// request did not run, and that this address is down.
func TestStrangersStayApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNet()
		defer serve(t, newMesh(n, "b"), listen(t, n, addrB))()
		stranger := peer.NewMesh("a", [][]byte{[]byte("another site")}, n.Dial(hostA), zap.NewNop())
		defer stranger.Close()
		_, err := askName(t.Context(), stranger, "", addrB)
		wantErr(t, "asking with another secret", err, nil, verd.NotRun)
		wantDown(t, stranger, addrB, true)
	})
}

// Two releases run side by side during an upgrade: they work together where their versions overlap, and where they do
// not, requests are not-run.
func TestReleasesSideBySide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNet()
		defer serve(t, newMesh(n, "b").WithVersions(2, 3), listen(t, n, addrB))()
		near := newMesh(n, "near").WithVersions(1, 2)
		defer near.Close()
		wantName(t, near, "", addrB, "b")
		far := newMesh(n, "far").WithVersions(1, 1)
		defer far.Close()
		_, err := askName(t.Context(), far, "", addrB)
		wantErr(t, "asking with an older version", err, hello.ErrRejected, verd.NotRun)
	})
}

// A node is unreachable for a while. Requests to it must fail at once instead of waiting for a dial each, and when it
// is back it must be found again, also by callers that avoid addresses that are down.
func TestUnreachableNodeIsFoundAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNet()
		dials := 0
		dial := func(ctx context.Context, addr string) (net.Conn, error) {
			dials++
			return n.Dial(hostA)(ctx, addr)
		}
		a := peer.NewMesh("a", secrets, dial, zap.NewNop())
		defer a.Close()
		_, err := askName(t.Context(), a, "", addrB)
		wantErr(t, "first try", err, nil, verd.NotRun)
		for range 100 {
			_, err := askName(t.Context(), a, "", addrB)
			wantErr(t, "try at once", err, peer.ErrBackoff, verd.NotRun)
		}
		if dials != 1 {
			t.Errorf("got %d dials, want 1", dials)
		}
		defer serve(t, newMesh(n, "b"), listen(t, n, addrB))()
		start := time.Now()
		for a.Down(addrB) {
			time.Sleep(time.Millisecond)
		}
		if got, want := time.Since(start), bounds.NewBounds().Most; got > want {
			t.Errorf("found again after %v, want at most %v", got, want)
		}
		wantName(t, a, "", addrB, "b")
	})
}

// A host dies in the middle of a request, and comes back. The request may have run; the next one is answered.
func TestCutConnectionIsDialledAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNet()
		b := newMesh(n, "b")
		b.Handle("wait", func(ctx context.Context, _ *strm.Stream) error {
			<-ctx.Done()
			return nil
		})
		defer serve(t, b, listen(t, n, addrB))()
		a := newMesh(n, "a")
		defer a.Close()
		s, err := a.Open(t.Context(), addrB, "wait", 0)
		if err != nil {
			t.Fatalf("Open: got %v, want nil", err)
		}
		synctest.Wait()
		n.Break(hostA, hostB)
		wantErr(t, "Recv", s.Recv(t.Context(), new(int)), nil, verd.MayHaveRun)
		synctest.Wait()
		wantDown(t, a, addrB, true)
		wantName(t, a, "", addrB, "b")
		wantDown(t, a, addrB, false)
	})
}

// The first of two callers gives up while the dial is under way. The other must still get its connection, and a dial
// that never ends must not hold either for longer than its timeout.
func TestDialOutlivesItsFirstCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNet()
		dial := func(ctx context.Context, addr string) (net.Conn, error) {
			if addr == "never:1" {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			time.Sleep(time.Second)
			return n.Dial(hostA)(ctx, addr)
		}
		defer serve(t, newMesh(n, "b"), listen(t, n, addrB))()
		a := peer.NewMesh("a", secrets, dial, zap.NewNop())
		defer a.Close()
		impatient, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := askName(impatient, a, "", addrB)
		wantErr(t, "the impatient caller", err, context.DeadlineExceeded, verd.NotRun)
		wantName(t, a, "", addrB, "b")
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
		n := newNet()
		b := newMesh(n, "b")
		peer.Answer(b, "panic", func(context.Context, string, int) (int, error) { panic("fault") })
		b.Handle("nothing", func(context.Context, *strm.Stream) error { return nil })
		defer serve(t, b, listen(t, n, addrB))()
		a := newMesh(n, "a")
		defer a.Close()
		var answer int
		wantCode(t, "panic", a.Ask(t.Context(), addrB, "panic", 0, &answer), refuse.Internal, verd.MayHaveRun)
		wantCode(t, "newer", a.Ask(t.Context(), addrB, "newer", 0, &answer), peer.UnknownMethod, verd.NotRun)
		wantErr(t, "nothing", a.Ask(t.Context(), addrB, "nothing", 0, &answer), nil, verd.MayHaveRun)
		wantName(t, a, "", addrB, "b")
	})
}

// A node shuts down. Its handlers' contexts end, what they answer still reaches the callers, and Serve returns only
// when all of it has ended. A caller's deadline ends its request at both nodes.
func TestShutdownAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNet()
		b := newMesh(n, "b")
		ended := 0
		peer.Answer(b, "wait", func(ctx context.Context, _ string, _ int) (int, error) {
			<-ctx.Done()
			ended++
			return 0, refuse.NewRefusal(verd.NotRun, refuse.Leaving, "had not started")
		})
		stop := serve(t, b, listen(t, n, addrB))
		a := newMesh(n, "a")
		defer a.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := a.Ask(ctx, addrB, "wait", 0, new(int))
		wantErr(t, "Ask with a deadline", err, context.DeadlineExceeded, verd.MayHaveRun)
		synctest.Wait()
		if ended != 1 {
			t.Errorf("handlers ended by the deadline: got %d, want 1", ended)
		}
		answer := make(chan error, 1)
		go func() { answer <- a.Ask(t.Context(), addrB, "wait", 0, new(int)) }()
		synctest.Wait()
		stop()
		wantCode(t, "Ask during the shutdown", <-answer, refuse.Leaving, verd.NotRun)
		a.Close()
		_, err = a.Open(t.Context(), addrB, "wait", 0)
		wantErr(t, "Open after Close", err, wire.ErrClosed, verd.NotRun)
	})
}
