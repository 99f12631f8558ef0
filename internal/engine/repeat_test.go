package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"damaskreach/internal/call"
	"damaskreach/internal/engine"
	"damaskreach/internal/stand/memnet"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// breakingService is a service that answers the first request of each connection,
// executes the second, and closes the connection without an answer.
type breakingService struct {
	executed atomic.Int64
}

func (b *breakingService) Run(ctx context.Context, listen func() (net.Listener, error)) error {
	lis, err := listen()
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { lis.Close() })()
	for {
		conn, err := lis.Accept()
		if err != nil {
			return err
		}
		go b.handle(ctx, conn)
	}
}

func (b *breakingService) handle(ctx context.Context, conn net.Conn) {
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer conn.Close()
	in := bufio.NewReader(conn)
	for n := range 2 {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		b.executed.Add(1)
		if n == 0 {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

// A reused connection breaks after a booking was sent and before the answer. The standard
// http.Transport silently resends the booking, which is then executed twice.
func TestRequestsAreNeverRepeatedSilently(t *testing.T) {
	calls := map[string]call.Call{
		"POST with a key":      {Method: "POST", Path: "/book", Key: "k1", Body: []byte("hall 4")},
		"POST without a body":  {Method: "POST", Path: "/book", Key: "k1"},
		"GET":                  {Method: "GET", Path: "/confirm"},
		"GET with a body":      {Method: "GET", Path: "/confirm", Body: []byte("hall 4")},
		"POST, non-idempotent": {Method: "POST", Path: "/book", Key: "k1", Body: []byte("hall 4"), NonIdempotent: true},
	}
	for name, c := range calls {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if got := sendTwiceOverStock(t, c); got != 3 {
					t.Errorf("stock transport: %d executions of 2 requests, want 3; this test no longer shows the fault", got)
				}
			})
			synctest.Test(t, func(t *testing.T) {
				upstream := &breakingService{}
				client := serve(t, upstream)
				first := generate(testContext(t), client, 1, c, nil)
				second := generate(testContext(t), client, 1, c, nil)
				if got := upstream.executed.Load(); got != 2 {
					t.Errorf("%d executions of 2 requests, want 2", got)
				}
				if first.err != nil {
					t.Errorf("first Generate = %v, want nil", first.err)
				}
				if second.err != nil {
					checkRefusal(t, "second Generate", second.err, refuse.Crashed, verd.MayHaveRun)
				}
				if alone := c.NonIdempotent || len(c.Body) == 0; alone && second.err != nil {
					t.Errorf("second Generate over a connection of its own = %v, want nil", second.err)
				}
			})
		})
	}
}

// sendTwiceOverStock sends c twice over a standard http.Transport and returns the number of executions.
func sendTwiceOverStock(t *testing.T, c call.Call) int64 {
	network := memnet.NewNet(1)
	upstream := &breakingService{}
	run(t, network, upstream)
	stock := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return network.Dial(caller)(ctx, addr)
	}}
	defer stock.CloseIdleConnections()
	for range 2 {
		req, err := http.NewRequest(c.Method, "http://"+addr+c.Path, bytes.NewReader(c.Body))
		if err != nil {
			t.Fatal(err)
		}
		if c.Key != "" {
			req.Header.Set(engine.HeaderKey, c.Key)
		}
		res, err := stock.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
	return upstream.executed.Load()
}
