package engine

import (
	"context"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/url"
	"strconv"

	"damaskreach/internal/call"
	"damaskreach/internal/sseio"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	// PlainLimit is the maximum size, in bytes, of an answer that is not a stream.
	PlainLimit    = 16 << 20
	maxEventBytes = 1 << 20 // bytes of one event of a stream
	streamType    = "text/event-stream"
)

func (c *client) generate(ctx context.Context, fence int64, input call.Call, head func(status int, kind string) error, emit emit) error {
	req, err := c.newRequest(fence, input)
	if err != nil {
		return refuse.NewRefusal(verd.NotRun, refuse.BadRequest, "forming a request to %s: %v", c.addr, err)
	}
	res, err := c.send(ctx, c.transport(input.NonIdempotent, len(input.Body)), req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if err := c.checkAttempt(res, input.Attempt); err != nil {
		return err
	}
	model := input.Adapter != ""
	if model {
		if refusal := c.checkRefusal(res); refusal != nil {
			return refusal
		}
	}
	if model && isStream(res) {
		return c.stream(ctx, res, input.From, head, emit)
	}
	return c.plain(ctx, res, head, emit)
}

// newRequest creates the HTTP request of a call. The path keeps the caller's percent-encoding.
func (c *client) newRequest(fence int64, input call.Call) (*http.Request, error) {
	target, err := url.ParseRequestURI(input.Path)
	if err != nil {
		return nil, err
	}
	target.Scheme = "http"
	target.Host = c.addr
	req, err := http.NewRequest(input.Method, "http://"+c.addr, newBody(input.Body))
	if err != nil {
		return nil, err
	}
	req.URL = target
	req.ContentLength = int64(len(input.Body))
	setHeader(req, "User-Agent", userAgent)
	setHeader(req, "Content-Type", input.Type)
	setHeader(req, HeaderRequest, input.ID)
	setHeader(req, HeaderAttempt, input.Attempt)
	setHeader(req, HeaderKey, input.Key)
	setHeader(req, HeaderPrefix, input.Prefix)
	setHeader(req, HeaderFence, formatNumber(fence))
	setHeader(req, HeaderPriority, formatNumber(int64(input.Priority)))
	setHeader(req, HeaderResume, formatNumber(int64(input.From)))
	return req, nil
}

// setHeader sets a header unless value is empty.
func setHeader(req *http.Request, name, value string) {
	if value != "" {
		req.Header.Set(name, value)
	}
}

// formatNumber formats n as a decimal header value, or as the empty string if n is 0.
func formatNumber(n int64) string {
	if n == 0 {
		return ""
	}
	return strconv.FormatInt(n, 10)
}

// checkAttempt rejects an answer that belongs to another attempt. An upstream that answers an abandoned request
// late, on a connection already used for the next one, would give a caller someone else's answer.
// Only upstreams that return the attempt header are checked.
func (c *client) checkAttempt(res *http.Response, attempt string) error {
	got := res.Header.Get(HeaderAttempt)
	if got == "" || got == attempt {
		return nil
	}
	return refuse.NewRefusal(verd.MayHaveRun, refuse.Cut, "upstream %s answered attempt %q instead of %q", c.addr, got, attempt)
}

// endsAtClose reports whether only the closing of the connection marks the end of an answer. A crash closes
// the connection too, so a complete answer cannot be told from a truncated one.
func endsAtClose(res *http.Response) bool {
	if res.StatusCode < http.StatusOK {
		return true
	}
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.Request.Method != http.MethodHead
}

func isStream(res *http.Response) bool {
	kind, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	return err == nil && kind == streamType && res.StatusCode == http.StatusOK
}

// stream emits the events of an answer until streamEnd. Only that event makes the answer complete:
// an engine that crashes between two events may close its connection as cleanly as one that has finished.
func (c *client) stream(ctx context.Context, res *http.Response, token int, head func(status int, kind string) error, emit emit) error {
	if err := head(res.StatusCode, res.Header.Get("Content-Type")); err != nil {
		return err
	}
	events := sseio.NewReader(res.Body, maxEventBytes)
	for {
		data, err := events.Next()
		if err != nil {
			return c.requestError(ctx, verd.MayHaveRun, err, fmt.Sprintf("reading token %d of %s", token+1, c.addr))
		}
		if string(data) == streamEnd {
			drain(res)
			return nil
		}
		if isErrorEvent(data) {
			return refuse.NewRefusal(verd.MayHaveRun, refuse.Cut, "engine %s gave up after token %d", c.addr, token)
		}
		if hasToken(data) {
			token++
		}
		if err := emit(token, data); err != nil {
			return err
		}
	}
}

// plain emits an answer that is not a stream as one piece, after all of it has arrived.
func (c *client) plain(ctx context.Context, res *http.Response, head func(status int, kind string) error, emit emit) error {
	if endsAtClose(res) {
		return refuse.NewRefusal(verd.MayHaveRun, refuse.Cut, "reading an answer of %s: neither its length nor its end is marked", c.addr)
	}
	content, err := io.ReadAll(io.LimitReader(res.Body, PlainLimit+1))
	if err != nil {
		return c.requestError(ctx, verd.MayHaveRun, err, "reading an answer of "+c.addr)
	}
	if len(content) > PlainLimit {
		return refuse.NewRefusal(verd.MayHaveRun, refuse.Cut, "reading an answer of %s: over %d bytes", c.addr, PlainLimit)
	}
	if err := head(res.StatusCode, res.Header.Get("Content-Type")); err != nil {
		return err
	}
	if len(content) == 0 {
		return nil
	}
	return emit(0, content)
}
