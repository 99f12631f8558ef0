// Package remote calls one of the platform's HTTP services, which has several addresses.
package remote

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/heads"
)

const (
	dialTimeout = time.Second      // for one address, so that a dead one does not use up the caller's time
	idleTimeout = 30 * time.Second // for an unused connection
	idleMost    = 16               // unused connections kept to an address
	bodyMost    = 256 << 20        // bytes read of one answer
)

var (
	// ErrDown means that no address took the call: it had no effect.
	ErrDown = merry.New("remote: service unavailable")
	// ErrLost means that the call may have taken effect, or still will, and its answer is not known.
	ErrLost = merry.New("remote: answer lost")
)

// Remote is a service; its methods may be called from several goroutines.
type Remote struct {
	addrs []string
	http  *http.Client
	last  atomic.Int64 // index of the address that took the last call
}

// NewRemote returns a service reached at the first of addrs that takes a call.
// dial opens a TCP connection to an address.
func NewRemote(addrs []string, dial func(ctx context.Context, addr string) (net.Conn, error)) *Remote {
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
	return &Remote{addrs: addrs, http: heads.NewClient(transport)}
}

// Call sends data to a path and returns the status and the whole body of the answer.
// It takes as long as ctx allows. Status 503 means that the service did not take the call and shows as ErrDown.
// Call goes on to the next address only after ErrDown: repeating a write that may have been applied
// could apply it twice.
func (r *Remote) Call(ctx context.Context, method, path string, data []byte) (status int, body []byte, err error) {
	err = merry.Prepend(ErrDown, "no address is set")
	first := int(r.last.Load())
	for i := range r.addrs {
		index := (first + i) % len(r.addrs)
		status, body, err = r.try(ctx, r.addrs[index], method, path, data)
		if !errors.Is(err, ErrDown) {
			r.last.Store(int64(index))
			return status, body, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return 0, nil, err
}

// try makes one call to one address.
func (r *Remote) try(ctx context.Context, addr, method, path string, data []byte) (status int, body []byte, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), method, "http://"+addr+path, data)
	if err != nil {
		return 0, nil, merry.Wrap(ErrDown, merry.WithCause(err))
	}
	response, err := r.http.Do(request)
	if err != nil && !connected.Load() {
		return 0, nil, merry.Wrap(ErrDown, merry.WithCause(err))
	}
	if err != nil {
		return 0, nil, merry.Wrap(ErrLost, merry.WithCause(err))
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable {
		return 0, nil, merry.Appendf(ErrDown, "%s answered %s", addr, response.Status)
	}
	body, err = io.ReadAll(io.LimitReader(response.Body, bodyMost+1))
	if err != nil {
		return 0, nil, merry.Wrap(ErrLost, merry.WithCause(err))
	}
	if len(body) > bodyMost {
		return 0, nil, merry.Appendf(ErrLost, "more than %d bytes in the answer", bodyMost)
	}
	return response.StatusCode, body, nil
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
	request.ContentLength = int64(len(data))
	return request, nil
}
