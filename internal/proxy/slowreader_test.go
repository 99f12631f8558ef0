package proxy_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

// slowReader is a caller that reads its first event late; nothing more can be written until then.
type slowReader struct {
	*httptest.ResponseRecorder
	delay time.Duration
}

// Flush waits until the caller reads.
func (s *slowReader) Flush() {
	time.Sleep(s.delay)
	s.delay = 0
}

// callSlowly sends a request whose caller reads its first event after a delay.
func (b *bench) callSlowly(late time.Duration) *httptest.ResponseRecorder {
	reader := &slowReader{ResponseRecorder: httptest.NewRecorder(), delay: late}
	r := httptest.NewRequestWithContext(b.t.Context(), http.MethodPost, "/p/x", nil)
	r.Host, r.Header = "a.example", adapterRequest
	b.ServeHTTP(reader, r)
	return reader.ResponseRecorder
}

// A caller reads slowly while its engine keeps sending. If that counted as the engine's silence, a healthy stream would be cut and moved.
func TestStreamOfASlowReaderIsNotMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHolderBench(t, true)
		cuts := 0
		b.setAnswers(pausesFor(100*time.Millisecond, &cuts), answers(http.StatusOK, nil, lastEvent, nil))
		rec := b.callSlowly(3 * time.Second)
		if got, want := rec.Body.String(), firstEvent+lastEvent; got != want {
			t.Errorf("answer = %q, want %q", got, want)
		}
		if got, want := len(b.sent), 1; got != want || cuts > 0 {
			t.Errorf("sends = %d, cuts = %d, want %d and none", got, cuts, want)
		}
	})
}
