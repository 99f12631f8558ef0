package wire_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/bounds"
	"damaskreach/internal/frame"
	"damaskreach/internal/strm"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// One caller stops reading its answer. Its sender must stop, with a bounded number of bytes on the way, and the
// answers of other callers on the same connection must go on.
func TestSlowStreamHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const window = 1 << 10
		sent := 0
		_, conn, _ := join(t, bounds.NewBounds().WithWindow(window), func(s *strm.Stream, method string) error {
			if method != "flood" {
				return echo(s, method)
			}
			for s.Send(s.Context(), sent) == nil {
				sent++
			}
			return nil
		})
		slow, err := conn.Open(t.Context(), "flood", 0, true)
		if err != nil {
			t.Fatalf("Open: got %v, want nil", err)
		}
		synctest.Wait()
		if sent == 0 || sent > window/frame.Overhead+1 {
			t.Errorf("sent %d messages unread, want 1 to %d", sent, window/frame.Overhead+1)
		}
		quick := open(t, conn, 0)
		recv(t, quick, 0)
		for i := range 1000 {
			if err := quick.Send(t.Context(), i); err != nil {
				t.Fatalf("Send: got %v, want nil", err)
			}
			recv(t, quick, i)
		}
		for i := range 1000 {
			recv(t, slow, i)
		}
	})
}

// A caller hangs up in the middle of its answer. The handler at the other node must stop, or the engine would go on
// working for nobody.
func TestCancelReachesTheHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan error, 1)
		_, conn, _ := join(t, bounds.NewBounds(), func(s *strm.Stream, _ string) error {
			<-s.Context().Done()
			ended <- context.Cause(s.Context())
			return nil
		})
		ctx, cancel := context.WithCancel(t.Context())
		s, err := conn.Open(ctx, "method", 0, true)
		if err != nil {
			t.Fatalf("Open: got %v, want nil", err)
		}
		synctest.Wait()
		cancel()
		wantCode(t, <-ended, refuse.Canceled, verd.MayHaveRun)
		wantErr(t, s, context.Canceled, verd.MayHaveRun)
	})
}

// A caller gives up and asks again at once, while frames of the first answer are still on their way. They must not
// reach the second request, nor may frames of streams that never were.
func TestLateFramesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, peer := dialByHand(t, bounds.NewBounds())
		first := open(t, conn, 0)
		synctest.Wait()
		first.Reset(nil)
		second := open(t, conn, 0)
		peer.send(t, frame.Data, frame.Last, 1, 100)
		peer.send(t, frame.Data, 0, 99, 101)
		peer.send(t, frame.Reset, 0, 98, 0)
		peer.send(t, frame.Credit, 0, 97, 5)
		peer.send(t, 200, 0, 3, 102)
		peer.send(t, frame.Data, frame.Last, 3, 7)
		recv(t, second, 7)
		if err := second.Recv(t.Context(), new(int)); !errors.Is(err, io.EOF) {
			t.Errorf("Recv: got %v, want EOF", err)
		}
		wantErr(t, first, nil, verd.MayHaveRun)
		peer.wantFrame(t, frame.Open, 1)
		peer.wantFrame(t, frame.Reset, 1)
		peer.wantFrame(t, frame.Open, 3)
	})
}

// A handler fails after half an answer. Refusals have to arrive whole, as callers switch on their code and wait for
// their retry; any other error keeps its verdict.
func TestErrorsKeepTheirVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refusal := refuse.NewRefusal(verd.NotRun, refuse.Limited, "limit used up").WithRetry(3 * time.Second)
		errs := []error{
			merry.Prepend(refusal, "asking the owner"),
			verd.Mark(merry.New("broken"), verd.Ran),
			merry.New("unknown"),
			verd.Mark(refusal, verd.MayHaveRun),
		}
		_, conn, _ := join(t, bounds.NewBounds(), func(s *strm.Stream, _ string) error {
			var n int
			if err := s.Recv(s.Context(), &n); err != nil {
				return err
			}
			if err := s.Send(s.Context(), n); err != nil {
				return err
			}
			return errs[n]
		})
		for i, want := range errs {
			s := open(t, conn, i)
			recv(t, s, i)
			err := s.Recv(t.Context(), new(int))
			if err == nil || verd.Of(err) != verd.Of(want) {
				t.Errorf("error %d: got %v, %v, want %v, %v", i, err, verd.Of(err), want, verd.Of(want))
			}
			var got *refuse.Refusal
			if carried := errors.As(err, &got); carried != errors.As(want, new(*refuse.Refusal)) {
				t.Errorf("error %d: refusal carried: got %v", i, carried)
			} else if carried && *got != *refusal.WithVerdict(verd.Of(want)) {
				t.Errorf("error %d: got %+v, want %+v", i, *got, *refusal)
			}
		}
	})
}

// A peer with a fault in its accounting sends more than the window, or a frame over the bound. The first ends its
// stream, the second the connection, before either fills this process's memory.
func TestPeerBeyondItsBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, peer := dialByHand(t, bounds.NewBounds().WithWindow(1<<10).WithFrame(4<<10))
		s := open(t, conn, 0)
		synctest.Wait()
		for range 3 {
			peer.send(t, frame.Data, 0, 1, make([]byte, 600))
		}
		peer.wantFrame(t, frame.Open, 1)
		peer.wantFrame(t, frame.Reset, 1)
		synctest.Wait()
		wantErr(t, s, strm.ErrWindow, verd.MayHaveRun)
		s = open(t, conn, 0)
		synctest.Wait()
		go peer.nc.Write(frame.Append(nil, frame.Frame{Kind: frame.Data, Stream: 3, Body: make([]byte, 5<<10)}))
		<-conn.Done()
		wantErr(t, s, frame.ErrLarge, verd.MayHaveRun)
	})
}

// A node opens streams without end. Those beyond the bound are refused as not-run, and the ones before go on.
func TestTooManyStreamsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, conn, _ := join(t, bounds.NewBounds().WithStreams(1), echo)
		first, second := open(t, conn, 0), open(t, conn, 1)
		recv(t, first, 0)
		wantCode(t, second.Recv(t.Context(), new(int)), refuse.Overloaded, verd.NotRun)
		if err := first.CloseSend(); err != nil {
			t.Errorf("CloseSend: got %v, want nil", err)
		}
		if err := first.Recv(t.Context(), new(int)); !errors.Is(err, io.EOF) {
			t.Errorf("Recv: got %v, want EOF", err)
		}
		synctest.Wait() // the other side gives the place back just after it has sent the end
		recv(t, open(t, conn, 3), 3)
	})
}

// A message is larger than a frame may be. It is refused before any byte of it is sent, and the connection stays.
func TestTooLargeMessageIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, conn, _ := join(t, bounds.NewBounds().WithFrame(1<<10), echo)
		_, err := conn.Open(t.Context(), "method", make([]byte, 1<<10), true)
		wantCode(t, err, refuse.TooLarge, verd.NotRun)
		recv(t, open(t, conn, 1), 1)
	})
}

// Messages are the bulk of the traffic between nodes: an answer is one for each few tokens. A change that allocates
// more for each would show as garbage collection under load.
func TestMessageAllocations(t *testing.T) {
	conn := overTCP(t, func(s *strm.Stream, _ string) error {
		var m token
		for s.Recv(s.Context(), &m) == nil {
			if err := s.Send(s.Context(), &m); err != nil {
				return err
			}
		}
		return nil
	})
	s := open(t, conn, &token{Text: []byte("a word or two")})
	var m token
	got := testing.AllocsPerRun(1000, func() {
		if err := s.Recv(t.Context(), &m); err != nil {
			t.Fatalf("Recv: got %v, want nil", err)
		}
		if err := s.Send(t.Context(), &m); err != nil {
			t.Fatalf("Send: got %v, want nil", err)
		}
	})
	t.Logf("%v allocations a message", got/2)
	if perMessage := got / 2; perMessage > mostAllocations {
		t.Errorf("got %v allocations a message, want at most %v", perMessage, mostAllocations)
	}
}

// Each request of a caller is several questions between nodes. A stream that needs more memory to begin and end would
// show as garbage collection under load.
func TestQuestionAllocations(t *testing.T) {
	conn := overTCP(t, sendTokens)
	got := testing.AllocsPerRun(1000, func() {
		s, err := conn.Open(t.Context(), "tokens", 1, true)
		if err != nil {
			t.Fatalf("Open: got %v, want nil", err)
		}
		var m token
		for err == nil {
			err = s.Recv(t.Context(), &m)
		}
		if !errors.Is(err, io.EOF) {
			t.Fatalf("Recv: got %v, want EOF", err)
		}
	})
	t.Logf("%v allocations a question", got)
	if got > mostQuestion {
		t.Errorf("got %v allocations a question, want at most %v", got, mostQuestion)
	}
}
