package uplink_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"damaskreach/internal/demand"
)

const (
	// endless is where an upstream stops that sends bytes without end, and mostEndless how many of them may be taken before it is cut off: what
	// buffers of the kernel hold, and some more.
	endless     = 128 << 20
	mostEndless = 16 << 20
)

// floodServer answers a request with a text, and then with a piece again and again until the connection is closed.
func floodServer(t *testing.T, text, piece string) (addr string, wrote *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("Listen() = %v, want nil", err)
	}
	t.Cleanup(func() { l.Close() })
	wrote = &atomic.Int64{}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err = io.WriteString(c, text)
		block := strings.Repeat(piece, 1+64<<10/len(piece))
		for err == nil && wrote.Load() < endless {
			var n int
			n, err = io.WriteString(c, block)
			wrote.Add(int64(n))
		}
	}()
	return l.Addr().String(), wrote
}

// An upstream in trouble sends bytes without end where the head of an answer is due. Read on, they would fill the memory of the host, with all
// requests on it, long before the request's deadline.
func TestHeadWithoutEndIsCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	cases := map[string]struct{ text, piece string }{
		"no line":           {"", "x"},
		"one header":        {head + "A: ", "x"},
		"headers":           {head, "A: b\r\n"},
		"interim answers":   {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"answers to others": {"", answer("2", "two")},
		"a long one":        {head + "Id: 2\r\n\r\n", "x"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			addr, wrote := floodServer(t, c.text, c.piece)
			u := newUplink()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			_, err := u.Do(ctx, addr, demand.Demand{ID: "1", Method: "POST", Host: "a", URI: "/x"}, nil, func() bool { return true })
			if err == nil || ctx.Err() != nil {
				t.Errorf("Do() = %v, want an error before the deadline", err)
			}
			if got := wrote.Load(); got > mostEndless {
				t.Errorf("%d bytes taken, want %d at most", got, mostEndless)
			}
		})
	}
}
