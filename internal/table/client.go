package table

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/remote"
	"damaskreach/internal/reply"
	"damaskreach/internal/rows"
)

// client calls the service by HTTP and JSON.
type client struct {
	remote *remote.Remote
}

// NewTable returns a table reached over HTTP at the first of addrs that accepts a call. Calls take as long as their contexts allow. dial
// opens a TCP connection to an address.
func NewTable(addrs []string, dial func(ctx context.Context, addr string) (net.Conn, error)) Table {
	c := &client{remote: remote.NewRemote(addrs, dial)}
	return Table{Read: c.read, List: c.list, Write: c.write, Tail: c.tail}
}

func (c *client) read(ctx context.Context, key string) (rows.Row, error) {
	body, err := c.call(ctx, http.MethodGet, "/v1/row?"+url.Values{"key": {key}}.Encode(), nil)
	if err != nil {
		return rows.Row{}, merry.Prependf(err, "reading %q", key)
	}
	if len(body.Rows) != 1 || body.Rows[0].Key != key {
		return rows.Row{}, merry.Prependf(ErrLost, "reading %q: the response has %d rows, not the one requested", key, len(body.Rows))
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
	if slices.ContainsFunc(edits, func(e rows.Row) bool { return e.CheckOnly }) {
		return 0, merry.Prependf(ErrInvalid, "writing %d rows: the service does not support check-only edits", len(edits))
	}
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

func (c *client) call(ctx context.Context, method, path string, data []byte) (reply.Reply, error) {
	status, body, err := c.remote.Call(ctx, method, path, data)
	if errors.Is(err, remote.ErrDown) {
		return reply.Reply{}, merry.Wrap(ErrDown, merry.WithCause(err))
	}
	if err != nil {
		return reply.Reply{}, merry.Wrap(ErrLost, merry.WithCause(err))
	}
	return decodeReply(status, body)
}

// decodeReply decodes a response into a reply or the error that its status stands for. A body that is no reply comes from another server
// and proves nothing: if the 404 of another server counted as ErrAbsent, an existing row would be created anew.
func decodeReply(status int, data []byte) (reply.Reply, error) {
	var body reply.Reply
	if err := json.Unmarshal(data, &body); err != nil {
		return reply.Reply{}, merry.Appendf(ErrLost, "status %d: %v", status, err)
	}
	switch status {
	case http.StatusOK:
		return body, nil
	case http.StatusConflict:
		return reply.Reply{}, NewConflict(body.Keys)
	case http.StatusNotFound:
		return reply.Reply{}, merry.Append(ErrAbsent, body.Text)
	case http.StatusBadRequest:
		return reply.Reply{}, merry.Append(ErrInvalid, body.Text)
	default:
		return reply.Reply{}, merry.Appendf(ErrLost, "status %d: %s", status, body.Text)
	}
}
