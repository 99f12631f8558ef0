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
	plainLimit = 16 << 20 // bytes of an answer that is not a stream
	eventLimit = 1 << 20  // bytes of one event of a stream
	streamKind = "text/event-stream"
)

func (c *client) generate(ctx context.Context, fence int64, what call.Call, head func(status int, kind string) error, emit emit) error {
	req, err := c.request(fence, what)
	if err != nil {
		return refuse.NewRefusal(verd.NotRun, refuse.BadRequest, "forming a request to %s: %v", c.addr, err)
	}
	res, err := c.send(ctx, req, !what.Once)
	if err != nil {
		return err
	}
	defer res.Body.Close()
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
	set := func(name, value string) {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	set("Content-Type", what.Type)
	set(HeaderRequest, what.ID)
	set(HeaderAttempt, what.Attempt)
	set(HeaderKey, what.Key)
	set(HeaderPrefix, what.Prefix)
	set(HeaderFence, number(fence))
	set(HeaderPriority, number(int64(what.Priority)))
	set(HeaderResume, number(int64(what.From)))
	return req, nil
}

// number writes a decimal header, or none for 0.
func number(n int64) string {
	if n == 0 {
		return ""
	}
	return strconv.FormatInt(n, 10)
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
			return nil
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
	content, err := io.ReadAll(io.LimitReader(res.Body, plainLimit+1))
	if err != nil {
		return c.failed(ctx, verd.MayHaveRun, err, "reading an answer of "+c.addr)
	}
	if len(content) > plainLimit {
		return refuse.NewRefusal(verd.MayHaveRun, refuse.Cut, "reading an answer of %s: over %d bytes", c.addr, plainLimit)
	}
	if err := head(res.StatusCode, res.Header.Get("Content-Type")); err != nil {
		return err
	}
	if len(content) == 0 {
		return nil
	}
	return emit(0, content)
}
