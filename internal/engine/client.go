package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"damaskreach/internal/sseio"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"

	"github.com/ansel1/merry/v2"
)

const (
	idleConns   = 256 // kept per upstream
	idleTime    = 30 * time.Second
	dialTime    = 3 * time.Second // a host that is gone answers no dial at all; within a site one takes about a millisecond
	headerLimit = 64 << 10        // bytes of an answer's headers
	drainLimit  = 4 << 10         // bytes read after the end of an answer
	drainTime   = 50 * time.Millisecond
	agent       = "damaskreach"
)

// client sends requests to one upstream, each of them at most once.
//
// http.Transport sends a request again on its own when a reused connection breaks before an answer, if the
// request has a method such as GET or an Idempotency-Key header, and a body that it can replay. A booking
// would run twice and nobody would be told; only the upstream's records would show it. Two things prevent it:
// every request with a body hides it in a reader that cannot be rewound, and a request that is not to be
// repeated, or has no body to hide, goes over a connection of its own, where the transport never repeats.
// Requests also go to the transport itself and not through an http.Client, which would follow redirects.
type client struct {
	addr   string
	pooled *http.Transport
	fresh  *http.Transport
}

func newClient(addr string, dial func(ctx context.Context, addr string) (net.Conn, error)) *client {
	pooled := &http.Transport{
		DialContext:            opener(addr, dial),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConns,
		IdleConnTimeout:        idleTime,
		MaxResponseHeaderBytes: headerLimit,
	}
	fresh := pooled.Clone()
	fresh.DisableKeepAlives = true
	return &client{addr: addr, pooled: pooled, fresh: fresh}
}

func (c *client) close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// body is a request body that cannot be read a second time.
type body struct {
	src bytes.Reader
}

func newBody(content []byte) io.ReadCloser {
	if len(content) == 0 {
		return http.NoBody
	}
	b := &body{}
	b.src.Reset(content)
	return b
}

// Read reads on in the body.
func (b *body) Read(p []byte) (int, error) {
	return b.src.Read(p)
}

// Close does nothing; the content is memory.
func (b *body) Close() error {
	return nil
}

// transport returns the one for a call with a body of size bytes.
func (c *client) transport(once bool, size int) *http.Transport {
	if once || size == 0 {
		return c.fresh
	}
	return c.pooled
}

// send sends req once by the transport and returns the head of its answer. Its errors carry the verdict.
func (c *client) send(ctx context.Context, by *http.Transport, req *http.Request) (*http.Response, error) {
	var used *wire
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used = info.Conn.(*wire)
		used.reset()
	}}
	req = req.WithContext(withCall(httptrace.WithClientTrace(ctx, trace)))
	res, err := by.RoundTrip(req)
	if err == nil {
		return res, nil
	}
	verdict := verd.NotRun
	if used != nil && used.seal() {
		verdict = verd.MayHaveRun
	}
	return nil, c.failed(ctx, verdict, err, fmt.Sprintf("sending %s to %s", req.URL.Path, c.addr))
}

// drain reads the little that may follow an answer that was understood, so that its connection can be used
// again: the transport closes one whose answer was not read to its end. An upstream that
// does not end its answer gets its connection closed.
func drain(res *http.Response) {
	limit := time.AfterFunc(drainTime, func() { res.Body.Close() })
	defer limit.Stop()
	io.CopyN(io.Discard, res.Body, drainLimit)
}

// failed returns err as a caller may read it. A connection that broke under a request counts as a crash of the upstream:
// nothing tells at once whether it was one, and the request may be its cause.
func (c *client) failed(ctx context.Context, verdict verd.Verdict, err error, what string) error {
	if cause := ctx.Err(); cause != nil {
		return verd.Mark(merry.Prepend(cause, what), verdict)
	}
	code := refuse.Crashed
	switch {
	case verdict == verd.NotRun:
		code = refuse.NoUpstream
	case errors.Is(err, sseio.ErrTooLong), errors.Is(err, sseio.ErrBareReturn):
		code = refuse.Cut
	}
	return refuse.NewRefusal(verdict, code, "%s: %v", what, err)
}
