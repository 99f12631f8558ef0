package table

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/reply"
	"damaskreach/internal/rows"
)

const (
	dialTimeout = time.Second      // for one address, so that a dead one does not use up the caller's time
	idleTimeout = 30 * time.Second // for an unused connection
	idleMost    = 16               // unused connections kept to an address
	answerMost  = 256 << 20        // bytes read of one answer
)

// client speaks HTTP and JSON to the service's addresses.
type client struct {
	addrs []string
	http  *http.Client
	last  atomic.Int64 // index of the address that took the last call
}

// NewTable returns a table reached over HTTP at the first of addrs that takes a call.
// Calls take as long as their contexts allow. dial opens a TCP connection to an address.
func NewTable(addrs []string, dial func(ctx context.Context, addr string) (net.Conn, error)) Table {
	c := &client{addrs: addrs, http: newHTTP(dial)}
	return Table{Read: c.read, List: c.list, Write: c.write, Tail: c.tail}
}

func newHTTP(dial func(ctx context.Context, addr string) (net.Conn, error)) *http.Client {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return dial(ctx, addr)
		},
		MaxIdleConnsPerHost: idleMost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	// A redirect would send the call on to an address that is not the service's.
	stay := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: stay}
}

func (c *client) read(ctx context.Context, key string) (rows.Row, error) {
	body, err := c.call(ctx, http.MethodGet, "/v1/row?"+url.Values{"key": {key}}.Encode(), nil)
	if err != nil {
		return rows.Row{}, merry.Prependf(err, "reading %q", key)
	}
	if len(body.Rows) != 1 {
		return rows.Row{}, merry.Prependf(ErrLost, "reading %q: %d rows in the answer", key, len(body.Rows))
	}
	return body.Rows[0], nil
}

func (c *client) list(ctx context.Context, prefix string) ([]rows.Row, int64, error) {
	body, err := c.call(ctx, http.MethodGet, "/v1/rows?"+url.Values{"prefix": {prefix}}.Encode(), nil)
	if err != nil {
		return nil, 0, merry.Prependf(err, "listing %q", prefix)
	}
	return body.Rows, body.Rev, nil
}

func (c *client) write(ctx context.Context, edits ...rows.Row) (int64, error) {
	data, err := json.Marshal(edits)
	if err != nil {
		return 0, merry.Prependf(ErrInvalid, "encoding %d edits: %v", len(edits), err)
	}
	body, err := c.call(ctx, http.MethodPost, "/v1/write", data)
	if err != nil {
		return 0, merry.Prependf(err, "writing %d rows", len(edits))
	}
	return body.Rev, nil
}

func (c *client) tail(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error) {
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatInt(after, 10)}}
	body, err := c.call(ctx, http.MethodGet, "/v1/tail?"+query.Encode(), nil)
	if err != nil {
		return nil, 0, merry.Prependf(err, "tailing %q", prefix)
	}
	if body.Whole {
		return body.Rows, body.Rev, merry.Prependf(ErrCompacted, "tailing %q after %d", prefix, after)
	}
	return body.Rows, body.Rev, nil
}

// call tries the addresses in turn, starting with the one that took the last call.
// It goes on only after ErrDown: repeating a write that may have been applied could apply it twice.
func (c *client) call(ctx context.Context, method, path string, data []byte) (reply.Reply, error) {
	err := merry.Prepend(ErrDown, "no address is set")
	first := int(c.last.Load())
	for i := range c.addrs {
		index := (first + i) % len(c.addrs)
		var body reply.Reply
		body, err = c.try(ctx, c.addrs[index], method, path, data)
		if !errors.Is(err, ErrDown) {
			c.last.Store(int64(index))
			return body, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return reply.Reply{}, err
}

// try makes one call to one address.
func (c *client) try(ctx context.Context, addr, method, path string, data []byte) (reply.Reply, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), method, "http://"+addr+path, data)
	if err != nil {
		return reply.Reply{}, merry.Wrap(ErrInvalid, merry.WithCause(err))
	}
	response, err := c.http.Do(request)
	if err != nil && !connected.Load() {
		return reply.Reply{}, merry.Wrap(ErrDown, merry.WithCause(err))
	}
	if err != nil {
		return reply.Reply{}, merry.Wrap(ErrLost, merry.WithCause(err))
	}
	defer response.Body.Close()
	return answer(response)
}

// newRequest makes a request that http.Transport cannot send a second time.
//
// Where a reused connection breaks, the transport silently repeats a request whose body it can replay, if the
// method is idempotent or the request carries an Idempotency-Key header. A write that had taken effect would then
// be sent again, and its caller would see a conflict with its own write as if another had won. POST alone prevents
// that only as long as nobody adds such a header; a body without GetBody prevents it for good. As the reader
// is wrapped, http.NewRequest cannot set GetBody by itself.
func newRequest(ctx context.Context, method, url string, data []byte) (*http.Request, error) {
	if data == nil {
		return http.NewRequestWithContext(ctx, method, url, nil)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(data)))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.ContentLength = int64(len(data))
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// answer turns a response into a reply or the error that its status stands for.
// A body that is no reply comes from something else than the service, or is cut short: it proves nothing.
// Were the 404 of some other server taken for ErrAbsent, a row that exists would be created anew.
func answer(response *http.Response) (reply.Reply, error) {
	var body reply.Reply
	err := json.NewDecoder(io.LimitReader(response.Body, answerMost)).Decode(&body)
	if err != nil && response.StatusCode != http.StatusServiceUnavailable {
		return reply.Reply{}, merry.Wrap(ErrLost, merry.WithCause(err), merry.AppendMessagef("status %d", response.StatusCode))
	}
	switch response.StatusCode {
	case http.StatusOK:
		return body, nil
	case http.StatusConflict:
		return reply.Reply{}, NewConflict(body.Keys)
	case http.StatusNotFound:
		return reply.Reply{}, merry.Append(ErrAbsent, body.Text)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return reply.Reply{}, merry.Append(ErrInvalid, body.Text)
	case http.StatusServiceUnavailable:
		return reply.Reply{}, merry.Append(ErrDown, body.Text)
	default:
		return reply.Reply{}, merry.Appendf(ErrLost, "status %d: %s", response.StatusCode, body.Text)
	}
}
