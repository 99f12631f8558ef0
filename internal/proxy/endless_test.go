package proxy_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/semaphore"

	"damaskreach/internal/kinds"
	"damaskreach/internal/resp"
	"damaskreach/internal/route"
)

const (
	// endless is where an upstream stops that sends bytes without end, and mostEndless how many of them may be taken before it is cut off.
	endless     = 64 << 20
	mostEndless = 2 << 20
)

// flood is a body that repeats a piece, and counts the bytes that were read.
type flood struct {
	piece string
	read  int
}

func (f *flood) Read(p []byte) (int, error) {
	if f.read >= endless {
		return 0, io.EOF
	}
	n := 0
	for n < len(p) {
		n += copy(p[n:], f.piece[(f.read+n)%len(f.piece):])
	}
	f.read += n
	return n, nil
}

// floods returns an answer that begins with a text and goes on with a flood.
func floods(status int, text string, f *flood) func(s sent) (resp.Resp, error) {
	return func(sent) (resp.Resp, error) {
		body := io.MultiReader(strings.NewReader(text), f)
		return resp.Resp{Status: status, Header: http.Header{}, Body: body, Cut: func() {}, Close: func() {}}, nil
	}
}

// An engine in trouble sends bytes without end that bring its stream no further. Kept until an event is whole, they would fill the memory of the
// host; passed on, they would keep the caller from the rest of its answer. The stream must go on at another engine.
func TestStreamWithoutEndIsCutOff(t *testing.T) {
	for name, piece := range map[string]string{
		"one event": "x", "one event of many lines": "data: x\n", "nothing": "\n", "events without an id": "data: x\n\n", "the same event": firstEvent,
		"comments": ": x\n\n", "the same event without a number": "id: a\ndata: a\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, streamRoute())
			f := &flood{piece: piece}
			b.setAnswers(floods(http.StatusOK, firstEvent, f), answers(http.StatusOK, nil, lastEvent, nil))
			rec, broken := b.call(nil)
			if f.read > mostEndless {
				t.Errorf("%d bytes taken, want %d at most", f.read, mostEndless)
			}
			if broken || !strings.HasSuffix(rec.Body.String(), lastEvent) {
				t.Errorf("broken off = %v, want the rest of the stream from another engine", broken)
			}
		})
	}
}

// An engine in trouble answers with a comment now and then, for ever, and with no event. Taken for events they would keep the stream there until its caller gives up, and the
// engine would look as if it read prompts in no time and draw further requests.
func TestCommentsAreNoEvents(t *testing.T) {
	const pause = 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		b := newHolderBench(t, true)
		r, w := io.Pipe()
		go func() {
			for {
				if _, err := io.WriteString(w, ": x\n\n"); err != nil {
					return
				}
				time.Sleep(pause)
			}
		}()
		cut := func() { r.CloseWithError(io.ErrClosedPipe) }
		b.setAnswers(func(sent) (resp.Resp, error) {
			return resp.Resp{Status: http.StatusOK, Header: http.Header{}, Body: r, Cut: cut, Close: cut}, nil
		}, answers(http.StatusOK, nil, firstEvent+lastEvent, nil))
		rec, broken := b.call(adapterRequest)
		if broken || !strings.HasSuffix(rec.Body.String(), firstEvent+lastEvent) {
			t.Errorf("answer = %q, broken off = %v, want the stream whole from the other engine", rec.Body.String(), broken)
		}
		if got, want := time.Since(b.start), 3*time.Second; got > want {
			t.Errorf("answered after %v, want %v at most", got, want)
		}
		time.Sleep(pause) // until the engine notices
	})
}

// Upstreams in trouble answer many requests at once with bytes without end. Each is cut off at the size of the largest answer, but all of them
// together must not fill the memory of the host either.
func TestWholeAnswersWithoutEndShareTheirRoom(t *testing.T) {
	const calls, room, slack = 64, 4 << 20, 128 << 10
	b := newBench(t, route.Route{Kind: kinds.Once, Attempts: 1, Target: time.Second})
	b.AnswerRoom = semaphore.NewWeighted(room)
	var held, most atomic.Int64
	var started sync.WaitGroup
	started.Add(calls)
	for range calls {
		b.answers = append(b.answers, func(s sent) (resp.Resp, error) {
			started.Done()
			started.Wait()
			f := &flood{piece: "x"}
			body := readerFunc(func(p []byte) (int, error) {
				n, err := f.Read(p)
				if sum := held.Add(int64(n)); sum > most.Load() {
					most.Store(sum)
				}
				return n, err
			})
			return resp.Resp{Status: http.StatusOK, Header: http.Header{}, Body: body, Cut: func() {}, Close: func() { held.Add(-int64(f.read)) }}, nil
		})
	}
	var all sync.WaitGroup
	for range calls {
		all.Go(func() { b.call(nil) })
	}
	all.Wait()
	if got, want := most.Load(), int64(room+calls*slack); got > want {
		t.Errorf("%d bytes of answers were held at once, want %d at most", got, want)
	}
	b.setAnswers(answers(http.StatusOK, nil, "whole", nil))
	if rec, _ := b.call(nil); rec.Code != http.StatusOK || rec.Body.String() != "whole" {
		t.Errorf("answer afterwards = %d %q, want it whole", rec.Code, rec.Body.String())
	}
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// An upstream that has rejected a request sends bytes without end, or a few and then nothing more. The request has not run, so its caller must not
// wait for the end of them.
func TestRejectionWithoutEndDoesNotDelayTheRequest(t *testing.T) {
	rejected := http.Header{headNotRun: {"1"}}
	for name, slow := range map[string]bool{"flood": false, "silence": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, streamRoute())
				f, cut := &flood{piece: "x"}, make(chan struct{})
				body := readerFunc(func(p []byte) (int, error) {
					if slow {
						<-cut
						return 0, io.ErrUnexpectedEOF
					}
					return f.Read(p)
				})
				b.setAnswers(func(sent) (resp.Resp, error) {
					return resp.Resp{Status: http.StatusServiceUnavailable, Header: rejected, Body: body, Rejected: true, Cut: sync.OnceFunc(func() { close(cut) }), Close: func() {}}, nil
				}, answers(http.StatusOK, nil, firstEvent, nil))
				began := time.Now()
				rec, _ := b.call(nil)
				if got, want := rec.Body.String(), firstEvent; got != want {
					t.Errorf("answer = %q, want %q of the other engine", got, want)
				}
				if took, most := time.Since(began), 300*time.Millisecond; took > most {
					t.Errorf("answered after %v, want %v at most", took, most)
				}
				if f.read > mostEndless {
					t.Errorf("%d bytes taken, want %d at most", f.read, mostEndless)
				}
			})
		})
	}
}
