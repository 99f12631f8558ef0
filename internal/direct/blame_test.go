package direct_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/demand"
	"damaskreach/internal/resp"
)

// Engines are at work on a long stream when its caller's time ends, again and again: taken for crashes, the host's own cuts would have the request
// refused as one that crashes engines.
func TestStreamsThatLastTooLongAreNoCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := silentBench(t, false)
		b.add("three", map[string]int{"m/a": 1})
		b.add("four", map[string]int{"m/a": 1})
		sends := 0
		silent := sendsUntil(time.Millisecond, nil)
		b.Do = func(ctx context.Context, addr string, d demand.Demand, extra http.Header, still func() bool) (resp.Resp, error) {
			sends++
			return silent(ctx, addr, d, extra, still)
		}
		for range 4 {
			b.call(held)
		}
		if got, want := sends, 4; got != want {
			t.Errorf("sends = %d, want %d", got, want)
		}
	})
}

// sendsUntil returns a Do whose engine sends an event every tenth of a second for as long, and then nothing until ctx ends, or where fault is set
// breaks off with it.
func sendsUntil(sending time.Duration, fault error) func(context.Context, string, demand.Demand, http.Header, func() bool) (resp.Resp, error) {
	return func(ctx context.Context, _ string, _ demand.Demand, _ http.Header, _ func() bool) (resp.Resp, error) {
		r, w := io.Pipe()
		go func() {
			began := time.Now()
			for id := 1; ctx.Err() == nil && time.Since(began) < sending; id++ {
				_, _ = io.WriteString(w, "id: "+strconv.Itoa(id)+"\ndata: a\n\n")
				time.Sleep(100 * time.Millisecond)
			}
			if fault != nil {
				_ = w.CloseWithError(fault)
				return
			}
			<-ctx.Done()
			_ = w.CloseWithError(ctx.Err())
		}()
		return resp.Resp{Status: http.StatusOK, Header: http.Header{}, Body: r, Cut: func() {}, Close: func() {}}, nil
	}
}

// resting returns how many upstreams are left alone.
func (b *bench) resting() int {
	n := 0
	for id := range b.view.Targets {
		if b.Pick.Resting(id, time.Now()) {
			n++
		}
	}
	return n
}

// wantBlamed checks how many upstreams are blamed for a break, and left alone.
func (b *bench) wantBlamed(n int) {
	b.t.Helper()
	if got := b.resting(); got != n {
		b.t.Errorf("upstreams left alone = %d, want %d", got, n)
	}
	if got := len(b.Blame.News()); got != n {
		b.t.Errorf("breaks recorded = %d, want %d", got, n)
	}
}

// An engine sends events of a long answer until its caller's time ends. Left alone as if it had broken off, it would get no requests while it is
// sound, and one whose callers all set short times would hardly get any.
func TestEngineThatSendsUntilTheTimeEndsIsNotRested(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := silentBench(t, true)
		b.Do = sendsUntil(time.Hour, nil)
		if _, broken := b.call(held); !broken {
			t.Error("the answer looks whole, want the connection broken off")
		}
		b.wantBlamed(0)
		b.counted(`code="deadline",verdict="may-have-run"} 1`, `outcome="timeout"} 1`)
	})
}

// An engine stops sending in the middle of an answer and its caller's time ends while nothing comes. Used on like one that was sending, it would
// get the next requests and hold them up as well.
func TestEngineThatStallsUntilTheTimeEndsIsRested(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := silentBench(t, false)
		b.Do = sendsUntil(time.Second, nil)
		if _, broken := b.call(held); !broken {
			t.Error("the answer looks whole, want the connection broken off")
		}
		if got, want := b.resting(), 1; got != want {
			t.Errorf("engines left alone = %d, want %d", got, want)
		}
		b.counted(`code="deadline",verdict="may-have-run"} 1`, `outcome="cut"} 1`)
	})
}

// An engine crashes under an answer shortly before its caller's time ends. Taken for the end of that time, it would get the next requests at once.
func TestEngineThatBreaksOffBeforeTheTimeEndsIsRested(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := silentBench(t, false)
		b.Do = sendsUntil(9900*time.Millisecond, errors.New("reset"))
		b.call(held)
		b.wantBlamed(1)
		b.counted(`code="cut",verdict="may-have-run"} 1`, `outcome="cut"} 1`)
	})
}

// An engine crashes under every stream, and their route allows one run. Left alone for the shortest time again and again, as if it served requests in
// between, it would get a stream several times a second, and each of them would be lost.
func TestEngineThatBreaksOffAgainIsRestedLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := silentBench(t, false)
		delete(b.view.Targets, "two")
		b.Do = sendsUntil(time.Second, errors.New("reset"))
		var rests []time.Duration
		for range 3 {
			b.call(held)
			began := time.Now()
			for b.resting() > 0 {
				time.Sleep(time.Millisecond)
			}
			rests = append(rests, time.Since(began))
		}
		if rests[1] <= rests[0] || rests[2] <= rests[1] {
			t.Errorf("left alone for %v, want longer each time", rests)
		}
	})
}
