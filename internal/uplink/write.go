package uplink

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"damaskreach/internal/demand"
)

// write sends a request with its length, whatever way the caller sent its body. Headers that state a length are never
// the caller's own, so that a second request hidden in a body stays a body.
func write(w io.Writer, d demand.Demand, extra http.Header) error {
	var b bytes.Buffer
	b.Grow(512 + len(d.Body))
	b.WriteString(d.Method + " " + d.URI + " HTTP/1.1\r\nHost: " + d.Host + "\r\n")
	fields(&b, d.Header)
	fields(&b, extra)
	if len(d.Body) > 0 || d.Method != http.MethodGet && d.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(d.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(d.Body)
	_, err := w.Write(b.Bytes())
	return err
}

func fields(b *bytes.Buffer, h http.Header) {
	for name, values := range h {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
}

// skip reads an answer to its end, so that the next one can be read; it reports false where the connection is of no more
// use.
func skip(r *http.Response) bool {
	_, err := io.Copy(io.Discard, r.Body)
	return err == nil && !r.Close
}

// keepFor returns how long a connection may be idle after an answer with these headers.
func keepFor(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if !strings.EqualFold(name, "timeout") || err != nil {
			continue
		}
		return time.Duration(seconds)*time.Second - idleSlack
	}
	return idleFor
}
