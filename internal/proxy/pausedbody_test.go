package proxy_test

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/resp"
)

// breaksAfter returns an answer whose engine sends one event and breaks off after a time, having written rest before that.
func breaksAfter(after time.Duration, rest string) func(s sent) (resp.Resp, error) {
	return func(sent) (resp.Resp, error) {
		r, w := io.Pipe()
		broken := make(chan struct{})
		time.AfterFunc(after, func() { close(broken) })
		go func() {
			_, _ = io.WriteString(w, firstEvent)
			<-broken
			_, _ = io.WriteString(w, rest)
			_ = w.CloseWithError(errors.New("reset"))
		}()
		return resp.Resp{Status: http.StatusOK, Header: http.Header{}, Body: r, Cut: func() {}, Close: func() {}}, nil
	}
}

// An upstream drops an answer that its caller reads too slowly. If it were blamed, a healthy upstream would be in backoff, and the request
// blocked as one that crashes upstreams.
func TestUpstreamThatDropsAnUnreadAnswerIsNotBlamed(t *testing.T) {
	for name, rest := range map[string]string{"at once": "", "behind what it has written": lastEvent} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHolderBench(t, true)
				b.setAnswers(breaksAfter(2*time.Second, rest), answers(http.StatusOK, nil, lastEvent, nil))
				rec := b.callSlowly(3 * time.Second)
				if got, want := rec.Body.String(), firstEvent+lastEvent; got != want {
					t.Errorf("answer = %q, want %q", got, want)
				}
				b.wantBlamed(0)
			})
		})
	}
}

// An upstream crashes during an answer whose caller reads, or stopped reading only some time ago. Unblamed, it would get the
// next requests at once.
func TestUpstreamThatBreaksOffWhileItsCallerReadsIsBlamed(t *testing.T) {
	for name, c := range map[string]struct{ late, after time.Duration }{
		"a caller that reads at once":       {0, time.Second},
		"a caller that reads a little late": {200 * time.Millisecond, 200 * time.Millisecond},
		"a caller that was slow before":     {1500 * time.Millisecond, 2600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHolderBench(t, true)
				b.setAnswers(breaksAfter(c.after, ""), answers(http.StatusOK, nil, lastEvent, nil))
				b.callSlowly(c.late)
				b.wantBlamed(1)
			})
		})
	}
}
