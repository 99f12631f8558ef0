package engine_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/engine"
	"damaskreach/internal/stand/engsim"
	"damaskreach/internal/stand/memnet"
	"damaskreach/internal/stand/uptime"
)

// newStream returns a chunked HTTP answer with the given number of tokens, one event and one chunk per token.
func newStream(tokens int) string {
	var parts []string
	for _, token := range engsim.Answer(model, "p", tokens) {
		parts = append(parts, fmt.Sprintf(`data: {"id":"r","model":%q,"choices":[{"index":0,"text":%q,"finish_reason":null}]}`+"\n\n", model, token))
	}
	parts = append(parts, "data: [DONE]\n\n", "")
	return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(parts...)
}

// countAllocs returns the allocations of one streamed call of the given number of tokens, connection included.
func countAllocs(t *testing.T, tokens int) float64 {
	client := newCannedClient(t, newStream(tokens))
	c := newCall(model, "p", tokens)
	c.NonIdempotent = true
	head := func(int, string) error { return nil }
	return testing.AllocsPerRun(10, func() {
		last := 0
		err := client.Generate(t.Context(), 1, c, head, func(token int, _ []byte) error {
			last = token
			return nil
		})
		if err != nil || last != tokens {
			t.Fatalf("Generate ended at token %d with %v, want %d, nil", last, err, tokens)
		}
	})
}

func TestAllocationsPerToken(t *testing.T) {
	const few, many, bound = 100, 10100, 0.01
	perToken := (countAllocs(t, many) - countAllocs(t, few)) / (many - few)
	t.Logf("%.4f allocations per token", perToken)
	if perToken > bound {
		t.Errorf("%.4f allocations per token, want at most %v", perToken, bound)
	}
}

// lateEnd is an engine whose responses end 10 ms after the [DONE] event.
type lateEnd struct {
	*engsim.Engine
}

func (s lateEnd) Run(ctx context.Context, listen func() (net.Listener, error)) error {
	return uptime.NewUptime().Run(ctx, listen, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.ServeHTTP(w, r)
		http.NewResponseController(w).Flush()
		time.Sleep(10 * time.Millisecond)
	}))
}

// If the client dialed for each request, small hosts would run out of ports.
// A response often ends only after its [DONE] event, so the client must read it to its end to use the connection again.
func TestConnectionsAreReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.NewNet(1)
		dials := 0
		client := engine.NewEngine(addr, func(ctx context.Context, addr string) (net.Conn, error) {
			dials++
			return network.Dial(caller)(ctx, addr)
		})
		t.Cleanup(client.Close)
		run(t, network, lateEnd{engsim.NewEngine()})
		load(t, client, model)
		before := dials
		for range 5 {
			generate(testContext(t), client, 1, newCall(model, "p", 3), nil)
			generate(testContext(t), client, 1, newCall("b@1", "p", 3), nil)
			if _, err := client.Report(t.Context()); err != nil {
				t.Errorf("Report = %v, want nil", err)
			}
			synctest.Wait()
		}
		if got := dials - before; got != 1 {
			t.Errorf("%d dials for 15 repeatable requests, want 1", got)
		}
	})
}
