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
	// PlainLimit is the most bytes of an answer that is not a stream.
	PlainLimit = 16 << 20
	eventLimit = 1 << 20 // bytes of one event of a stream
	streamKind = "text/event-stream"
)

func (c *client) generate(ctx context.Context, fence int64, what call.Call, head func(status int, kind string) error, emit emit) error {
	req, err := c.request(fence, what)
	if err != nil {
		return refuse.NewRefusal(verd.NotRun, refuse.BadRequest, "forming a request to %s: %v", c.addr, err)
	}
	res, err := c.send(ctx, c.transport(what.Once, len(what.Body)), req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if err := c.matches(res, what.Attempt); err != nil {
		return err
	}
	model := what.Adapter != ""
	if model {
		if refusal := c.refused(res); refusal != nil {
			return refusal
		}
	}
	if model && isStream(res) {
		return c.stream(ctx, res, what.From, head, emit)
	}
	return c.plain(ctx, res, head, emit)
}

// request forms the HTTP request of a call. The path keeps the caller's own escapes.
func (c *client) request(fence int64, what call.Call) (*http.Request, error) {
	at, err := url.ParseRequestURI(what.Path)
	if err != nil {
		return nil, err
	}
	at.Scheme = "http"
	at.Host = c.addr
	req, err := http.NewRequest(what.Method, "http://"+c.addr, newBody(what.Body))
	if err != nil {
		return nil, err
	}
	req.URL = at
	req.ContentLength = int64(len(what.Body))
	set(req, "User-Agent", agent)
	set(req, "Content-Type", what.Type)
	set(req, HeaderRequest, what.ID)
	set(req, HeaderAttempt, what.Attempt)
	set(req, HeaderKey, what.Key)
	set(req, HeaderPrefix, what.Prefix)
	set(req, HeaderFence, number(fence))
	set(req, HeaderPriority, number(int64(what.Priority)))
	set(req, HeaderResume, number(int64(what.From)))
	return req, nil
}

// set sets a header that has a value.
func set(req *http.Request, name, value string) {
	if value != "" {
		req.Header.Set(name, value)
	}
}

// number writes a decimal header, or none for 0.
func number(n int64) string {
	if n == 0 {
		return ""
	}
	return strconv.FormatInt(n, 10)
}

// matches refuses an answer that belongs to another attempt. An upstream that answers an abandoned
// request late, on a connection that has gone on to the next one, would hand a caller someone else's answer.
// Upstreams that return the attempt header make this visible; others are not checked.
func (c *client) matches(res *http.Response, attempt string) error {
	got := res.Header.Get(HeaderAttempt)
	if got == "" || got == attempt {
		return nil
	}
	return refuse.NewRefusal(verd.MayHaveRun, refuse.Cut, "upstream %s answered attempt %q instead of %q", c.addr, got, attempt)
}

// endsUnmarked reports whether an answer ends only where its connection does. A crash ends
// a connection too, so the whole of such an answer cannot be told from a part of it.
func endsUnmarked(res *http.Response) bool {
	if res.StatusCode < http.StatusOK {
		return true
	}
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.Request.Method != http.MethodHead
}

func isStream(res *http.Response) bool {
	kind, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	return err == nil && kind == streamKind && res.StatusCode == http.StatusOK
}

// stream passes on the events of an answer until its end mark. Only the mark makes it whole:
// an engine that crashes between two events may close its connection as politely as one that has finished.
func (c *client) stream(ctx context.Context, res *http.Response, token int, head func(status int, kind string) error, emit emit) error {
	if err := head(res.StatusCode, res.Header.Get("Content-Type")); err != nil {
		return err
	}
	events := sseio.NewReader(res.Body, eventLimit)
	for {
		data, err := events.Next()
		if err != nil {
			return c.failed(ctx, verd.MayHaveRun, err, fmt.Sprintf("reading token %d of %s", token+1, c.addr))
		}
		if string(data) == endMark {
			drain(res)
			return nil
		}
		if isFailure(data) {
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

// plain passes on an answer that is one body, after the whole of it has arrived.
func (c *client) plain(ctx context.Context, res *http.Response, head func(status int, kind string) error, emit emit) error {
	if endsUnmarked(res) {
		return refuse.NewRefusal(verd.MayHaveRun, refuse.Cut, "reading an answer of %s: neither its length nor its end is marked", c.addr)
	}
	content, err := io.ReadAll(io.LimitReader(res.Body, PlainLimit+1))
	if err != nil {
		return c.failed(ctx, verd.MayHaveRun, err, "reading an answer of "+c.addr)
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
