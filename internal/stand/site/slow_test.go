//go:build !race

package site_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/stand/site"
	"damaskreach/pkg/head"
)

// Callers send their bodies a byte a second. Where the body is waited for, it would hold a connection and memory for as
// long as the caller likes; where the request is refused unread, as for a wrong key, the refusal would come only after the
// body. Cut off without an answer, the caller would not know that nothing has run.
func TestSlowBodyIsRefused(t *testing.T) {
	for _, c := range []struct {
		name, key string
		status    int
		within    time.Duration
	}{
		{"a body that is waited for", site.APIKey, http.StatusRequestTimeout, 31 * time.Second},
		{"a body that is not needed", "wrong", http.StatusForbidden, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				s := site.NewSite(1, 1)
				if err := s.Start(ctx, 2); err != nil {
					t.Fatal(err)
				}
				s.StartNode(ctx, 0)
				time.Sleep(settle)
				conn, err := s.Net.Dial(site.CallerHost)(ctx, site.Host(0)+":8000")
				if err != nil {
					t.Fatal(err)
				}
				started := time.Now()
				go drip(ctx, conn, c.key)
				res, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatalf("got no answer (%v), want a refusal", err)
				}
				if res.StatusCode != c.status || res.Header.Get(head.Verdict) != "not-run" {
					t.Errorf("got status %d, verdict %q; want %d, not-run", res.StatusCode, res.Header.Get(head.Verdict), c.status)
				}
				if got := time.Since(started); got > c.within {
					t.Errorf("got the refusal after %s, want it within %s", got, c.within)
				}
				_ = conn.Close()
				cancel()
				s.Wait(0)
				time.Sleep(settle)
			})
		})
	}
}

// drip sends a request's headers and then its body byte by byte, until the node gives up.
func drip(ctx context.Context, conn net.Conn, key string) {
	_, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 1000\r\n\r\n", key)
	for err == nil && ctx.Err() == nil {
		_, err = io.WriteString(conn, " ")
		time.Sleep(time.Second)
	}
}
