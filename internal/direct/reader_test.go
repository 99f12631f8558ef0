package direct_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

// slowReader is a caller that takes its first event late: nothing more can be written until then.
type slowReader struct {
	*httptest.ResponseRecorder
	late time.Duration
}

// Flush waits until the caller reads.
func (s *slowReader) Flush() {
	time.Sleep(s.late)
	s.late = 0
}

// callSlowly sends a request whose caller takes its first event so late.
func (b *bench) callSlowly(late time.Duration) *httptest.ResponseRecorder {
	reader := &slowReader{ResponseRecorder: httptest.NewRecorder(), late: late}
	r := httptest.NewRequestWithContext(b.t.Context(), http.MethodPost, "/p/x", nil)
	r.Host, r.Header = "a.example", held
	b.ServeHTTP(reader, r)
	return reader.ResponseRecorder
}

// A caller reads slowly while its engine goes on: taken for silent, the engine would be cut off in the middle of a sound answer.
func TestStreamOfASlowReaderStaysWhereItIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := silentBench(t, true)
		cuts := 0
		b.then(pausing(100*time.Millisecond, &cuts), answers(http.StatusOK, nil, lastEvent, nil))
		rec := b.callSlowly(3 * time.Second)
		if got, want := rec.Body.String(), firstEvent+lastEvent; got != want {
			t.Errorf("answer = %q, want %q", got, want)
		}
		if got, want := len(b.sent), 1; got != want || cuts > 0 {
			t.Errorf("sends = %d, cuts = %d, want %d and none", got, cuts, want)
		}
	})
}
