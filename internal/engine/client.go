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

	"damaskreach/internal/heads"
	"damaskreach/internal/sseio"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"

	"github.com/ansel1/merry/v2"
)

const (
	maxIdleConns   = 256 // idle connections kept per upstream
	idleTimeout    = 30 * time.Second
	dialTimeout    = 3 * time.Second // a dial within a data centre takes about 1 ms; one to a dead host gets no reply
	maxHeaderBytes = 64 << 10        // bytes of an answer's headers
	maxDrainBytes  = 4 << 10         // bytes read after the end of an answer
	drainTimeout   = 50 * time.Millisecond
	userAgent      = "damaskreach"
)

// client sends requests to one upstream, each of them at most once.
//
// http.Transport retries a request when a reused connection breaks before the answer, if the method is
// idempotent (such as GET) or an Idempotency-Key header is set, and if the body can be replayed. A booking
// would then run twice, visible only in the upstream's records. Two measures prevent such retries: request
// bodies are readers that cannot be rewound, and a request that must run at most once, or has no body, gets
// a new connection, on which the transport never retries.
// Requests bypass http.Client, which would follow redirects.
type client struct {
	addr     string
	pooled   *http.Transport
	unpooled *http.Transport
}

func newClient(addr string, dial func(ctx context.Context, addr string) (net.Conn, error)) *client {
	pooled := &http.Transport{
		DialContext:            newDialFunc(addr, dial),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	unpooled := pooled.Clone()
	unpooled.DisableKeepAlives = true
	return &client{addr: addr, pooled: pooled, unpooled: unpooled}
}

func (c *client) close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// onceBody is a request body that cannot be read a second time.
type onceBody struct {
	src bytes.Reader
}

func newBody(content []byte) io.ReadCloser {
	if len(content) == 0 {
		return http.NoBody
	}
	b := &onceBody{}
	b.src.Reset(content)
	return b
}

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) {
	return b.src.Read(p)
}

// Close does nothing, because the content is in memory.
func (b *onceBody) Close() error {
	return nil
}

// transport returns the transport for a call with a body of size bytes; once is set if the call must run at most once.
func (c *client) transport(once bool, size int) *http.Transport {
	if once || size == 0 {
		return c.unpooled
	}
	return c.pooled
}

// send sends req once over transport and returns the answer with its body unread. Its errors carry a verdict.
func (c *client) send(ctx context.Context, transport *http.Transport, req *http.Request) (*http.Response, error) {
	var used *trackedConn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used = info.Conn.(*trackedConn)
		used.reset()
	}}
	req = req.WithContext(withCall(httptrace.WithClientTrace(ctx, trace)))
	res, err := heads.Transport{RoundTripper: transport}.RoundTrip(req)
	if err == nil {
		return res, nil
	}
	verdict := verd.NotRun
	if used != nil && used.seal() {
		verdict = verd.MayHaveRun
	}
	return nil, c.requestError(ctx, verdict, err, fmt.Sprintf("sending %s to %s", req.URL.Path, c.addr))
}

// drain reads what follows the end of a complete answer, so that the transport can reuse the connection,
// which it closes if the body was not read to the end. It closes the body if that does not end
// within drainTimeout.
func drain(res *http.Response) {
	timer := time.AfterFunc(drainTimeout, func() { res.Body.Close() })
	defer timer.Stop()
	io.CopyN(io.Discard, res.Body, maxDrainBytes)
}

// requestError returns err as the error of an operation. A connection that broke during a request is reported as a
// crash of the upstream: the cause is not known yet, and it may be the request itself.
func (c *client) requestError(ctx context.Context, verdict verd.Verdict, err error, operation string) error {
	if cause := ctx.Err(); cause != nil {
		return verd.Mark(merry.Prepend(cause, operation), verdict)
	}
	code := refuse.Crashed
	switch {
	case verdict == verd.NotRun:
		code = refuse.NoUpstream
	case errors.Is(err, sseio.ErrTooLong), errors.Is(err, sseio.ErrBareReturn):
		code = refuse.Cut
	}
	return refuse.NewRefusal(verdict, code, "%s: %v", operation, err)
}
