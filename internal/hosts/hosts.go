// Package hosts is the only way to the platform's host list.
package hosts

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/host"
	"damaskreach/internal/remote"
)

// ErrFailed means that the list could not be read, or that what was read is no list.
var ErrFailed = merry.New("hosts: no host list")

// Hosts reaches the host list; the field is its one operation.
type Hosts struct {
	// List returns the hosts in no order. The list lags behind the truth and can be wrong about a host.
	List func(ctx context.Context) ([]host.Host, error)
}

// NewHosts returns a host list reached over HTTP at the first of addrs that takes a call.
// Calls take as long as their contexts allow. dial opens a TCP connection to an address.
func NewHosts(addrs []string, dial func(ctx context.Context, addr string) (net.Conn, error)) Hosts {
	service := remote.NewRemote(addrs, dial)
	return Hosts{List: func(ctx context.Context) ([]host.Host, error) {
		status, body, err := service.Call(ctx, http.MethodGet, "/v1/hosts", nil)
		if err != nil {
			return nil, merry.Wrap(ErrFailed, merry.WithCause(err))
		}
		return decode(status, body)
	}}
}

// decode rejects a list that is wrong anywhere. A list read in part would look as if the hosts that are missing
// from it had gone, and their work would be taken over while they still do it.
func decode(status int, body []byte) ([]host.Host, error) {
	if status != http.StatusOK {
		return nil, merry.Appendf(ErrFailed, "status %d", status)
	}
	var list []host.Host
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, merry.Wrap(ErrFailed, merry.WithCause(err))
	}
	if list == nil {
		return nil, merry.Append(ErrFailed, "null in place of a list")
	}
	for i, h := range list {
		if !h.Valid() {
			return nil, merry.Appendf(ErrFailed, "entry %d: address %q, state %q", i, h.Addr, h.State)
		}
	}
	return list, nil
}
