package memnet_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/stand/memnet"
)

const (
	hostA   = "10.0.0.1"
	hostB   = "10.0.0.2"
	addrB   = hostB + ":80"
	latency = 10 * time.Millisecond
)

// connect returns both ends of a connection from host A to host B.
func connect(t *testing.T, n *memnet.Net) (a, b net.Conn) {
	t.Helper()
	n.SetLatency(hostA, hostB, latency)
	l, err := n.Listen(addrB)
	if err != nil {
		t.Fatalf("Listen(%q) = %v, want nil", addrB, err)
	}
	t.Cleanup(func() { l.Close() })
	a, err = n.Dial(hostA)(t.Context(), addrB)
	if err != nil {
		t.Fatalf("Dial(%q) = %v, want nil", addrB, err)
	}
	b, err = l.Accept()
	if err != nil {
		t.Fatalf("Accept() = %v, want nil", err)
	}
	return a, b
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatalf("Write(%q) = %v, want nil", text, err)
	}
}

// expect reads text and checks how long that took.
func expect(t *testing.T, c net.Conn, text string, after time.Duration) {
	t.Helper()
	start := time.Now()
	buf := make([]byte, len(text))
	if _, err := io.ReadFull(c, buf); err != nil {
		t.Fatalf("reading %q: %v, want nil", text, err)
	}
	if got := string(buf); got != text {
		t.Errorf("read %q, want %q", got, text)
	}
	if got := time.Since(start); got != after {
		t.Errorf("%q arrived after %v, want %v", text, got, after)
	}
}

func expectError(t *testing.T, c net.Conn, want error) {
	t.Helper()
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, want) {
		t.Errorf("Read = %v, want %v", err, want)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func TestHTTPWorksOverTheNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.NewNet(1)
		n.SetLatency(hostA, hostB, latency)
		l, err := n.Listen(addrB)
		if err != nil {
			t.Fatalf("Listen = %v, want nil", err)
		}
		echo := func(w http.ResponseWriter, r *http.Request) { io.Copy(w, r.Body) }
		server := &http.Server{Handler: http.HandlerFunc(echo)}
		go server.Serve(l)
		defer server.Close()
		dial := func(ctx context.Context, _, addr string) (net.Conn, error) { return n.Dial(hostA)(ctx, addr) }
		transport := &http.Transport{DialContext: dial}
		defer transport.CloseIdleConnections()
		start := time.Now()
		for range 3 {
			response, err := (&http.Client{Transport: transport}).Post("http://"+addrB, "text/plain", strings.NewReader("hello"))
			if err != nil {
				t.Fatalf("Post = %v, want nil", err)
			}
			body, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if got, want := string(body), "hello"; got != want {
				t.Errorf("body = %q, want %q", got, want)
			}
		}
		if got, want := time.Since(start), 8*latency; got != want {
			t.Errorf("a dial and three round trips took %v, want %v", got, want)
		}
	})
}

// A receiver stops reading. Its sender must be held up after a bounded number of bytes, not buffer on.
func TestWritesWaitForASlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.NewNet(1)
		a, b := connect(t, n)
		a.SetWriteDeadline(time.Now().Add(time.Second))
		sent, err := a.Write(make([]byte, 1<<20))
		if !isTimeout(err) {
			t.Errorf("Write of a megabyte nobody reads = %v, want a timeout", err)
		}
		a.Close()
		got, err := io.ReadAll(b)
		if err != nil || len(got) != sent {
			t.Errorf("read %d bytes, %v, want %d, nil", len(got), err, sent)
		}
	})
}

// A server abandons a read that waits by a deadline long past. The read must end at once, and later ones go on.
func TestPastDeadlineEndsAWaitingRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := connect(t, memnet.NewNet(1))
		start := time.Now()
		time.AfterFunc(time.Second, func() { b.SetReadDeadline(time.Unix(1, 0)) })
		if _, err := b.Read(make([]byte, 1)); !isTimeout(err) {
			t.Errorf("Read = %v, want a timeout", err)
		}
		if got, want := time.Since(start), time.Second; got != want {
			t.Errorf("Read ended after %v, want %v", got, want)
		}
		b.SetReadDeadline(time.Time{})
		send(t, a, "next")
		expect(t, b, "next", latency)
	})
}

// Servers of several networks abandon reads at the same moment, as net/http does after each request. With timers for these
// deadlines, the race detector ends the whole test binary by a segmentation fault or "CHECK failed", whatever it tests.
func TestPastDeadlinesOfSeveralNetworks(t *testing.T) {
	const networks, requests = 4, 20000
	synctest.Test(t, func(t *testing.T) {
		var conns []net.Conn
		for i := range networks {
			_, b := connect(t, memnet.NewNet(int64(i)))
			conns = append(conns, b)
		}
		var all sync.WaitGroup
		for _, c := range conns {
			all.Go(func() {
				for range requests {
					c.SetReadDeadline(time.Unix(1, 0))
				}
			})
		}
		all.Wait()
	})
}

// A peer closes while a write waits for room. The write must fail, not hang.
func TestBlockedWriteEndsWhenThePeerCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.NewNet(1)
		a, b := connect(t, n)
		time.AfterFunc(time.Minute, func() { b.Close() })
		if _, err := a.Write(make([]byte, 1<<20)); !errors.Is(err, syscall.EPIPE) {
			t.Errorf("Write = %v, want %v", err, syscall.EPIPE)
		}
	})
}

// A host is unreachable. A dial hangs as long as its context lets it, or until the link is back.
func TestDialOverACutLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.NewNet(1)
		l, err := n.Listen(addrB)
		if err != nil {
			t.Fatalf("Listen = %v, want nil", err)
		}
		defer l.Close()
		for _, cut := range []func(){func() { n.CutOneWay(hostA, hostB) }, func() { n.CutOneWay(hostB, hostA) }} {
			n.Heal(hostA, hostB)
			cut()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			if _, err := n.Dial(hostA)(ctx, addrB); !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("Dial over a cut link = %v, want %v", err, context.DeadlineExceeded)
			}
			cancel()
		}
		time.AfterFunc(time.Minute, func() { n.Heal(hostA, hostB) })
		if _, err := n.Dial(hostA)(t.Context(), addrB); err != nil {
			t.Errorf("Dial over a link that heals = %v, want nil", err)
		}
	})
}

func TestSeedFixesLatency(t *testing.T) {
	measure := func(seed int64) (took time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			memnet.NewNet(seed).Dial(hostA)(t.Context(), addrB)
			took = time.Since(start)
		})
		return took
	}
	if got, want := measure(7), measure(7); got != want {
		t.Errorf("a dial took %v with the same seed, want %v", got, want)
	}
	if got, other := measure(7), measure(8); got == other {
		t.Errorf("a dial took %v with either seed, want a difference", got)
	}
}
