package proxy_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"damaskreach/internal/resp"
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
