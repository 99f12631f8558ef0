package wire_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/bounds"
	"damaskreach/internal/frame"
	"damaskreach/internal/hello"
	"damaskreach/internal/strm"
	"damaskreach/internal/wire"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// A switch between two data centres fails, and no side is told. Requests that were sent may have run; one that was
// still queued has not, and its caller may send it elsewhere. Both must hear of it within the keepalive's timeout.
func TestCutCableEndsStreamsWithTheirVerdicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c cable
		b := bounds.NewBounds()
		conn, _ := join(t, &c, b, echo)
		running := open(t, conn, 1)
		recv(t, running, 1)
		c.cut()
		defer c.mend()
		written := open(t, conn, 2)
		synctest.Wait()
		queued := open(t, conn, 3)
		start := time.Now()
		<-conn.Done()
		if got, want := time.Since(start), b.Timeout+b.Interval; got > want {
			t.Errorf("cut noticed after %v, want at most %v", got, want)
		}
		for s, want := range map[*strm.Stream]verd.Verdict{running: verd.MayHaveRun, written: verd.MayHaveRun, queued: verd.NotRun} {
			err := s.Recv(t.Context(), new(int))
			if err == nil || verd.Of(err) != want {
				t.Errorf("Recv: got %v, %v, want %v", err, verd.Of(err), want)
			}
		}
		_, err := conn.Open(t.Context(), "method", 4, true)
		if err == nil || verd.Of(err) != verd.NotRun {
			t.Errorf("Open after the cut: got %v, %v, want not-run", err, verd.Of(err))
		}
	})
}

// The far host loses its power. The near kernel still takes all bytes, so writing shows nothing: only the silence
// does. Without the timeout of reads callers would wait until their deadlines.
func TestSilentPeerIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := bounds.NewBounds()
		conn, peer := dialByHand(t, b)
		s := open(t, conn, 0)
		start := time.Now()
		err := s.Recv(t.Context(), new(int))
		if err == nil || verd.Of(err) != verd.MayHaveRun {
			t.Errorf("Recv: got %v, %v, want may-have-run", err, verd.Of(err))
		}
		if got := time.Since(start); got != b.Timeout {
			t.Errorf("silence noticed after %v, want %v", got, b.Timeout)
		}
		if f := <-peer.frames; f.Kind != frame.Open {
			t.Errorf("first frame: got kind %d, want Open", f.Kind)
		}
	})
}

// A caller gives up while the peer takes no bytes, so its request is still in the queue. When the network comes back
// the request must not run after all, as its caller was told that it did not.
func TestRequestGivenUpInTheQueueDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c cable
		served := make(chan int, 10)
		conn, _ := join(t, &c, bounds.NewBounds(), func(s *strm.Stream, _ string) error {
			var n int
			defer func() { served <- n }()
			return s.Recv(s.Context(), &n)
		})
		c.cut()
		for range 2 { // one is on the way, one in the socket
			open(t, conn, 1)
			synctest.Wait()
		}
		ctx, cancel := context.WithCancel(t.Context())
		s, err := conn.Open(ctx, "method", 2, false)
		if err != nil {
			t.Fatalf("Open: got %v, want nil", err)
		}
		open(t, conn, 3)
		cancel()
		err = s.Recv(ctx, new(int))
		if !errors.Is(err, context.Canceled) || verd.Of(err) != verd.NotRun {
			t.Errorf("Recv: got %v, %v, want canceled, not-run", err, verd.Of(err))
		}
		c.mend()
		synctest.Wait()
		close(served)
		for n := range served {
			if n == 2 {
				t.Errorf("the request given up ran")
			}
		}
	})
}

// The peer's process is killed in the middle of an answer: its socket closes. What arrived is delivered, then an
// error and never a clean end, or the caller would take half an answer for a whole one.
func TestBrokenAnswerIsNoWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, peer := dialByHand(t, bounds.NewBounds())
		s := open(t, conn, 0)
		synctest.Wait()
		peer.send(t, frame.Data, 0, 1, 7)
		peer.nc.Close()
		<-conn.Done()
		recv(t, s, 7)
		err := s.Recv(t.Context(), new(int))
		if err == nil || verd.Of(err) != verd.MayHaveRun {
			t.Errorf("Recv: got %v, %v, want may-have-run", err, verd.Of(err))
		}
	})
}

// A node shuts down while requests arrive. Handlers have a moment to say what became of theirs, and a request that
// crossed the shutdown on its way is not-run, so that its caller can go to another node.
func TestClosingSideSaysWhatRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c cable
		conn, far := join(t, &c, bounds.NewBounds(), func(s *strm.Stream, _ string) error {
			<-s.Context().Done()
			return refuse.NewRefusal(verd.NotRun, refuse.Leaving, "had not started")
		})
		taken := open(t, conn, 1)
		synctest.Wait()
		c.cut()
		go far.Close()
		synctest.Wait()
		crossed := open(t, conn, 2)
		c.mend()
		<-conn.Done()
		for _, s := range []*strm.Stream{taken, crossed} {
			err := s.Recv(t.Context(), new(int))
			var refusal *refuse.Refusal
			if !errors.As(err, &refusal) || refusal.Code != refuse.Leaving || verd.Of(err) != verd.NotRun {
				t.Errorf("Recv: got %v, %v, want leaving, not-run", err, verd.Of(err))
			}
		}
	})
}

// Something connects and says nothing. It must not hold a socket and a goroutine for ever.
func TestSilentHandshakeEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, far := net.Pipe()
		b := bounds.NewBounds()
		start := time.Now()
		_, err := wire.Accept(t.Context(), far, hello.NewHello("b", "1"), secrets, b, nil)
		if err == nil || time.Since(start) != b.Handshake {
			t.Errorf("Accept: got %v after %v, want an error after %v", err, time.Since(start), b.Handshake)
		}
	})
}

// No request runs for minutes. The connection must stay, as pings show that the peer is there.
func TestIdleConnectionStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c cable
		conn, _ := join(t, &c, bounds.NewBounds(), echo)
		time.Sleep(10 * time.Minute)
		if !conn.Usable() {
			t.Fatalf("Usable: got false, %v, want true", conn.Err())
		}
		recv(t, open(t, conn, 5), 5)
	})
}
