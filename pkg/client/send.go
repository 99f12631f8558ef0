package client

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"

	"damaskreach/internal/heads"
	"damaskreach/pkg/head"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// contentOf reads a request's body, since it may have to be sent more than once.
func contentOf(req *http.Request) ([]byte, error) {
	if req.Body == nil {
		return nil, nil
	}
	defer func() { _ = req.Body.Close() }()
	return io.ReadAll(req.Body)
}

// repeatable reports whether a request may run more than once, or carries a key by which the system runs it once.
func repeatable(req *http.Request) bool {
	if req.Header.Get(head.Key) != "" {
		return true
	}
	if once, err := strconv.ParseBool(req.Header.Get(head.Once)); err == nil {
		return !once
	}
	if strings.HasPrefix(req.URL.Path, "/v1/") {
		return true
	}
	return req.Method == http.MethodGet || req.Method == http.MethodHead || req.Method == http.MethodOptions
}

// body hides its content from the transport, which would otherwise send a request again by itself when a kept connection
// breaks: a booking could run twice and its caller would see one answer.
type body struct {
	io.Reader
}

func (body) Close() error {
	return nil
}

// transport returns the one for a request. One that may run only once gets a connection of its own, because a kept one may
// have been closed meanwhile, which looks like a request that was cut.
func (c *Client) transport(req *http.Request) *http.Transport {
	if repeatable(req) {
		return c.kept
	}
	return c.fresh
}

// send sends a request to one node, once.
func (c *Client) send(ctx context.Context, addr string, req *http.Request, content []byte) (*http.Response, *refuse.Refusal) {
	var written atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { written.Store(true) },
	}
	next := req.Clone(httptrace.WithClientTrace(ctx, trace))
	next.URL.Scheme, next.URL.Host, next.Host = "http", addr, ""
	next.Body, next.GetBody, next.ContentLength = http.NoBody, nil, int64(len(content))
	if len(content) > 0 {
		next.Body = body{bytes.NewReader(content)}
	}
	next.Header.Set("Authorization", "Bearer "+c.key)
	res, err := heads.Transport{RoundTripper: c.transport(req)}.RoundTrip(next)
	if err == nil {
		return accept(res)
	}
	verdict, code := verd.NotRun, refuse.NoUpstream
	if written.Load() {
		verdict, code = verd.MayHaveRun, refuse.Cut
	}
	if refusal := ended(ctx, verdict); refusal != nil {
		return nil, refusal
	}
	return nil, refuse.NewRefusal(verdict, code, "asking node %s: %v", addr, err)
}
