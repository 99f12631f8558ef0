package conns_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/conns"
)

// A caller sends its next request before it has the answer, and the host gets no processor just behind that answer while idle connections are
// closed: the request was read already, and its caller would be taken to have left.
func TestRequestThatWasReadAheadIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c conns.Conns
		gone := 0
		far := serveOne(t, &c, func(_ http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Millisecond) // the server's own goroutines run first
			c.Enter(r.Context())
			if r.Context().Err() != nil {
				gone++
			}
		}, func() { c.CloseIdle(0) })
		const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
		if _, err := io.WriteString(far, request+request); err != nil {
			t.Fatalf("sending: %v", err)
		}
		in := bufio.NewReader(far)
		for n := range 2 {
			if _, err := http.ReadResponse(in, nil); err != nil {
				t.Fatalf("answer %d: %v, want a whole one", n, err)
			}
		}
		if got, want := gone, 0; got != want {
			t.Errorf("requests whose callers left = %d, want %d", got, want)
		}
	})
}
