package object

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/remote"
)

// TextAbsent is the body of the store's 404. A 404 with any other body comes from something else
// at the store's address and does not prove that an object is absent.
const TextAbsent = "no such object"

// NewObject returns an object store reached over HTTP at the first of addrs that takes a call.
// Calls take as long as their contexts allow. dial opens a TCP connection to an address.
func NewObject(addrs []string, dial func(ctx context.Context, addr string) (net.Conn, error)) Object {
	service := remote.NewRemote(addrs, dial)
	return Object{
		Put: func(ctx context.Context, name string, data []byte) error {
			if err := Check(name, data); err != nil {
				return err
			}
			return merry.Prependf(put(ctx, service, name, data), "putting %q", name)
		},
		Get: func(ctx context.Context, name string) ([]byte, error) {
			data, err := get(ctx, service, name)
			return data, merry.Prependf(err, "getting %q", name)
		},
	}
}

func path(name string) string {
	return "/v1/object?" + url.Values{"name": {name}}.Encode()
}

func put(ctx context.Context, service *remote.Remote, name string, data []byte) error {
	if data == nil {
		data = []byte{}
	}
	status, body, err := service.Call(ctx, http.MethodPut, path(name), data)
	if err != nil {
		return classed(err)
	}
	return verdict(status, http.StatusNoContent, body)
}

func get(ctx context.Context, service *remote.Remote, name string) ([]byte, error) {
	status, data, err := service.Call(ctx, http.MethodGet, path(name), nil)
	if err != nil {
		return nil, classed(err)
	}
	if err := verdict(status, http.StatusOK, data); err != nil {
		return nil, err
	}
	return data, nil
}

func classed(err error) error {
	if errors.Is(err, remote.ErrDown) {
		return merry.Wrap(ErrDown, merry.WithCause(err))
	}
	return merry.Wrap(ErrLost, merry.WithCause(err))
}

// verdict returns the error that an answer's status stands for, nil where it is the one wanted.
func verdict(status, want int, body []byte) error {
	switch {
	case status == want:
		return nil
	case status == http.StatusNotFound && string(body) == TextAbsent:
		return ErrAbsent
	case status == http.StatusBadRequest:
		return merry.Appendf(ErrInvalid, "%s", body)
	default:
		return merry.Appendf(ErrLost, "status %d", status)
	}
}
