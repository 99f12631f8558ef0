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
