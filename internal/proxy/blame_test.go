package proxy_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/demand"
	"damaskreach/internal/resp"
)

// Callers' deadlines repeatedly pass while engines send long streams. Counted as crashes, the host's own cuts would have the
// request blocked as one that crashes engines.
func TestTimedOutStreamsAreNotCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHolderBench(t, false)
		b.add("three", map[string]int{"m/a": 1})
		b.add("four", map[string]int{"m/a": 1})
		sends := 0
		silent := sendsUntil(time.Millisecond, nil)
		b.Send = func(ctx context.Context, addr string, d demand.Demand, headers func() http.Header, still func() bool) (resp.Resp, error) {
			sends++
			return silent(ctx, addr, d, headers, still)
		}
		for range 4 {
			b.call(adapterRequest)
		}
		if got, want := sends, 4; got != want {
			t.Errorf("sends = %d, want %d", got, want)
		}
	})
}

// sendsUntil returns a Send whose engine sends an event every 100 ms for the given time. Then it breaks off with fault, or if
// that is nil sends nothing until ctx ends.
func sendsUntil(
	sending time.Duration, fault error,
) func(context.Context, string, demand.Demand, func() http.Header, func() bool) (resp.Resp, error) {
	return func(ctx context.Context, _ string, _ demand.Demand, _ func() http.Header, _ func() bool) (resp.Resp, error) {
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

// countBackedOff returns how many upstreams are in backoff.
func (b *bench) countBackedOff() int {
	n := 0
	for id := range b.view.Targets {
		if b.Pick.InBackoff(id, time.Now()) {
			n++
		}
	}
	return n
}

// wantBlamed checks how many upstreams are in backoff and how many breaks are recorded.
func (b *bench) wantBlamed(n int) {
	b.t.Helper()
	if got := b.countBackedOff(); got != n {
		b.t.Errorf("upstreams in backoff = %d, want %d", got, n)
	}
	if got := b.takeBreaks(); got != n {
		b.t.Errorf("breaks recorded = %d, want %d", got, n)
	}
}

// takeBreaks returns how many breaks are told to other hosts: reports of what was at hand where an upstream ended are others.
func (b *bench) takeBreaks() (n int) {
	for _, report := range b.Guard.TakeReports() {
		if kind, _, _ := strings.Cut(report, " "); kind != "hit" && kind != "end" {
			n++
		}
	}
	return n
}

// An engine sends a long answer until its caller's deadline. With a backoff for that, a healthy engine whose callers set short
// deadlines would get hardly any requests.
func TestEngineThatSendsUntilTheDeadlineIsNotBackedOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHolderBench(t, true)
		b.Send = sendsUntil(time.Hour, nil)
		if _, broken := b.call(adapterRequest); !broken {
			t.Error("the answer looks whole, want the connection broken off")
		}
		b.wantBlamed(0)
		b.wantMetrics(`code="deadline",verdict="may-have-run"} 1`, `outcome="timeout"} 1`)
	})
}

// An engine stops sending in the middle of an answer, until its caller's deadline. Without a backoff it would get the next
// requests and hold them up as well.
func TestEngineThatStallsUntilTheDeadlineIsBackedOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHolderBench(t, false)
		b.Send = sendsUntil(time.Second, nil)
		if _, broken := b.call(adapterRequest); !broken {
			t.Error("the answer looks whole, want the connection broken off")
		}
		if got, want := b.countBackedOff(), 1; got != want {
			t.Errorf("engines in backoff = %d, want %d", got, want)
		}
		b.wantMetrics(`code="deadline",verdict="may-have-run"} 1`, `outcome="cut"} 1`)
	})
}

// An engine crashes during an answer shortly before its caller's deadline. Taken for a timeout, it would get the next requests at once.
func TestEngineThatBreaksOffBeforeTheDeadlineIsBackedOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHolderBench(t, false)
		b.Send = sendsUntil(9900*time.Millisecond, errors.New("reset"))
		b.call(adapterRequest)
		b.wantBlamed(1)
		b.wantMetrics(`code="cut",verdict="may-have-run"} 1`, `outcome="cut"} 1`)
	})
}

// An engine crashes during every stream, and their route allows one run. If its backoff were reset each time, as if it had
// served requests, it would break several streams a second.
func TestBackoffGrowsWithEachBreak(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHolderBench(t, false)
		delete(b.view.Targets, "two")
		b.Send = sendsUntil(time.Second, errors.New("reset"))
		var backoffs []time.Duration
		for range 3 {
			b.call(adapterRequest)
			began := time.Now()
			for b.countBackedOff() > 0 {
				time.Sleep(time.Millisecond)
			}
			backoffs = append(backoffs, time.Since(began))
		}
		if backoffs[1] <= backoffs[0] || backoffs[2] <= backoffs[1] {
			t.Errorf("backoffs of %v, want longer each time", backoffs)
		}
	})
}
