package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/call"
	"damaskreach/internal/engine"
	"damaskreach/internal/stand/memnet"
	"damaskreach/internal/stand/plain"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

func booking() call.Call {
	return call.Call{
		ID: "r1", Attempt: "a1", Key: "k1", NonIdempotent: true, Method: "PUT", Path: "/halls/4%2Fb?status=202&day=a%20b",
		Type: "text/plain", Body: []byte("from noon"),
	}
}

func TestPlainCallIsPassedThroughWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := serve(t, plain.NewService())
		c := booking()
		got := generate(testContext(t), client, 1, c, nil)
		want := string(plain.Answer(c.Method, c.Path, c.Type, c.Body))
		if got.err != nil || got.status != 202 || got.kind != "application/json" || got.raw.String() != want {
			t.Errorf("Generate = %d %q %q, %v, want 202 application/json %q", got.status, got.kind, got.raw.String(), got.err, want)
		}
		for _, path := range []string{"//halls", "/halls/../4", "/halls//4", "/halls?"} {
			c.Path = path
			want := string(plain.Answer(c.Method, c.Path, c.Type, c.Body))
			if got := generate(testContext(t), client, 1, c, nil); got.err != nil || got.raw.String() != want {
				t.Errorf("path %s: got %q, %v, want %q", path, got.raw.String(), got.err, want)
			}
		}
		for _, status := range []int{404, 409, 412, 503} {
			c.Path = "/halls?status=" + strconv.Itoa(status)
			if got := generate(testContext(t), client, 1, c, nil); got.err != nil || got.status != status {
				t.Errorf("Generate = %d, %v, want the service's own %d", got.status, got.err, status)
			}
		}
	})
}

// A service crashes before or after executing a booking, or during its answer. The caller cannot tell which of these happened, so
// no such booking may be reported as not run, and no truncated answer as complete.
func TestPlainServiceFailureMayHaveRun(t *testing.T) {
	faults := map[string]struct {
		arm      func(s *plain.Service)
		executed int
	}{
		"crash before executing": {func(s *plain.Service) { s.CrashBefore(1) }, 0},
		"crash after executing":  {func(s *plain.Service) { s.CrashAfter(1) }, 1},
		"answer cut":             {func(s *plain.Service) { s.CutAnswers(1) }, 1},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := plain.NewService()
				s.Slow(time.Second)
				client := serve(t, s)
				fault.arm(s)
				got := generate(testContext(t), client, 1, booking(), nil)
				checkRefusal(t, "Generate", got.err, refuse.Crashed, verd.MayHaveRun)
				if got.status != 0 {
					t.Errorf("head was called with %d before the answer was whole", got.status)
				}
				if n := len(s.Records()); n != fault.executed {
					t.Errorf("%d executions, want %d", n, fault.executed)
				}
			})
		})
	}
}

// newCannedClient returns a client whose connections answer their first request with answer and then close.
func newCannedClient(t *testing.T, answer string) engine.Engine {
	client := engine.NewEngine(addr, func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go writeAnswer(far, answer)
		return near, nil
	})
	t.Cleanup(client.Close)
	return client
}

func writeAnswer(conn net.Conn, answer string) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	io.Copy(io.Discard, req.Body)
	io.WriteString(conn, answer)
}

// chunks encodes parts in HTTP chunked encoding; an empty part ends the body.
func chunks(parts ...string) string {
	var b strings.Builder
	for _, part := range parts {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
	}
	return b.String()
}

// An answer is truncated in a way that HTTP may take for its end, or belongs to another request.
// None may be passed on as complete. TestAllocationsPerToken shows that a stream
// of this form is accepted if it has its [DONE] event.
func TestIncompleteAnswersAreRejected(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	answers := map[string]string{
		"none at all":              "",
		"over the size limit":      head + "Content-Length: 20000000\r\n\r\n" + strings.Repeat("x", 20000000),
		"shorter than its length":  head + "Content-Length: 9\r\n\r\n{}",
		"chunks without an end":    head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
		"neither length nor end":   head + "\r\n{}",
		"malformed chunk":          head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n{}\r\n0\r\n\r\n",
		"another attempt's":        head + "X-Attempt-Id: a0\r\nContent-Length: 2\r\n\r\n{}",
		"another's refusal":        "HTTP/1.1 404 Not Found\r\nX-Attempt-Id: a0\r\nContent-Length: 2\r\n\r\n{}",
		"protocol switch":          "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
		"stream without end mark":  stream + chunks("data: {}\n\n", ""),
		"stream that ends in half": stream + chunks("data: {}\n\n", "data: [DONE]", ""),
		"stream given up":          stream + chunks("data: {\"error\":\"x\"}\n\n", "data: [DONE]\n\n", ""),
	}
	// In the other cases the connection broke or the bytes were not valid HTTP.
	wantCut := []string{"over the size limit", "neither length nor end", "another attempt's", "another's refusal", "protocol switch", "stream given up"}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			want := refuse.Crashed
			if slices.Contains(wantCut, name) {
				want = refuse.Cut
			}
			synctest.Test(t, func(t *testing.T) {
				got := generate(testContext(t), newCannedClient(t, answer), 1, newCall(model, "p", 1), nil)
				checkRefusal(t, "Generate", got.err, want, verd.MayHaveRun)
			})
		})
	}
}

func TestMalformedRequestsAreRejected(t *testing.T) {
	client := engine.NewEngine(addr, memnet.NewNet(1).Dial(caller))
	for _, c := range []call.Call{{Method: "GET", Path: "@other/"}, {Method: "G T", Path: "/"}, {Method: "GET", Path: ""}} {
		got := generate(testContext(t), client, 1, c, nil)
		checkRefusal(t, "Generate "+c.Method+" "+c.Path, got.err, refuse.BadRequest, verd.NotRun)
	}
}
