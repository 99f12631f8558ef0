package wire_test

import (
	"context"
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
		b := bounds.NewBounds()
		n, conn, _ := join(t, b, echo)
		running := open(t, conn, 1)
		recv(t, running, 1)
		n.SetBuffer(1)
		n.Cut(hostA, hostB)
		defer n.Heal(hostA, hostB)
		written := open(t, conn, 2)
		synctest.Wait()
		queued := open(t, conn, 3)
		start := time.Now()
		<-conn.Done()
		if got, want := time.Since(start), b.Timeout+b.Interval; got > want {
			t.Errorf("cut noticed after %v, want at most %v", got, want)
		}
		wantErr(t, running, nil, verd.MayHaveRun)
		wantErr(t, written, nil, verd.MayHaveRun)
		wantErr(t, queued, nil, verd.NotRun)
		if _, err := conn.Open(t.Context(), "method", 4, true); err == nil || verd.Of(err) != verd.NotRun {
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
		wantErr(t, s, nil, verd.MayHaveRun)
		if got := time.Since(start); got != b.Timeout {
			t.Errorf("silence noticed after %v, want %v", got, b.Timeout)
		}
		peer.wantFrame(t, frame.Open, 1)
	})
}

// A caller gives up while the peer takes no bytes, so its request is still in the queue. When the network comes back
// the request must not run after all, as its caller was told that it did not.
func TestRequestGivenUpInTheQueueDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		served := make(chan int, 10)
		n, conn, _ := join(t, bounds.NewBounds(), func(s *strm.Stream, _ string) error {
			var n int
			defer func() { served <- n }()
			return s.Recv(s.Context(), &n)
		})
		n.SetBuffer(1)
		n.Cut(hostA, hostB)
		for range 2 { // one is on the way in part, one in the queue
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
		wantErr(t, s, context.Canceled, verd.NotRun)
		n.Heal(hostA, hostB)
		synctest.Wait()
		close(served)
		ran := make(map[int]bool)
		for n := range served {
			ran[n] = true
		}
		if !ran[1] || ran[2] || !ran[3] {
			t.Errorf("ran: got %v, want 1 and 3", ran)
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
		wantErr(t, s, nil, verd.MayHaveRun)
	})
}

// A node shuts down while requests arrive. Handlers have a moment to say what became of theirs, and a request that
// crossed the shutdown on its way is not-run, so that its caller can go to another node.
func TestClosingSideSaysWhatRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, conn, far := join(t, bounds.NewBounds(), func(s *strm.Stream, _ string) error {
			<-s.Context().Done()
			return refuse.NewRefusal(verd.NotRun, refuse.Leaving, "had not started")
		})
		taken := open(t, conn, 1)
		synctest.Wait()
		n.Cut(hostA, hostB)
		go far.Close()
		synctest.Wait()
		crossed := open(t, conn, 2)
		n.Heal(hostA, hostB)
		<-conn.Done()
		wantCode(t, taken.Recv(t.Context(), new(int)), refuse.Leaving, verd.NotRun)
		wantCode(t, crossed.Recv(t.Context(), new(int)), refuse.Leaving, verd.NotRun)
	})
}

// A node closes its connection while the peer still writes. A socket closed with bytes unread makes the kernel throw
// away what it was sending, so the peer would miss the goodbye: the node reads on until the peer has closed.
func TestClosingSideWaitsForThePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, peer := dialByHand(t, bounds.NewBounds())
		start := time.Now()
		go conn.Close()
		peer.wantFrame(t, frame.Bye, 0)
		synctest.Wait()
		peer.send(t, frame.Data, 0, 1, "late")
		peer.nc.Close()
		<-conn.Done()
		if got := time.Since(start); got != 0 {
			t.Errorf("closed after %v, want at once after the peer", got)
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
		_, conn, _ := join(t, bounds.NewBounds(), echo)
		time.Sleep(10 * time.Minute)
		recv(t, open(t, conn, 5), 5)
	})
}
