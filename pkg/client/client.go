// Package client sends requests to the system for callers.
//
// Nothing stands in front of the nodes: a caller asks any of them which to use, keeps that answer for its stated life and
// connects there itself. The client does so. It tries another node where a request certainly did not run, and repeats a
// request that may have run only if it is idempotent or carries an idempotency key.
package client

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"damaskreach/internal/ends"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	usualTries  = 10
	usualWait   = 200 * time.Millisecond
	dialTime    = 3 * time.Second
	headerLimit = 64 << 10 // bytes of an answer's headers
	idleConns   = 32       // kept per node
)

// Client may be used from several goroutines. Its exported fields may be changed before its first use.
type Client struct {
	Tries int           // of one request at the most
	Wait  time.Duration // before another try where a refusal names no time; a connection that broke names none

	key    string
	first  []string // addresses known from the start
	kept   *http.Transport
	fresh  *http.Transport
	mu     sync.Mutex
	lists  map[string]list // discovery answers by model
	serial int             // of the last request, so that requests without a model are spread
}

// NewClient returns a client that sends the API key and learns the nodes' addresses from any of entries, each an IP and
// port. A nil dial means TCP.
func NewClient(key string, entries []string, dial func(ctx context.Context, addr string) (net.Conn, error)) *Client {
	if dial == nil {
		dial = dialTCP
	}
	kept := &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTime)
			defer cancel()
			return dial(ctx, addr)
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConns,
		MaxResponseHeaderBytes: headerLimit,
	}
	fresh := kept.Clone()
	fresh.DisableKeepAlives = true
	return &Client{Tries: usualTries, Wait: usualWait, key: key, first: entries, kept: kept, fresh: fresh, lists: map[string]list{}}
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	return ends.Dial(ctx, &net.Dialer{}, addr)
}

// Close closes the connections that no request uses.
func (c *Client) Close() {
	c.kept.CloseIdleConnections()
}

// Do sends a request whose URL has a path only, and returns the answer: of a model, or of a plain service with its own
// status. Model is the adapter version asked for, empty for plain services. All errors are *refuse.Refusal, whose verdict
// covers all tries. An answer that breaks off makes the reading of its body fail.
func (c *Client) Do(ctx context.Context, model string, req *http.Request) (*http.Response, error) {
	content, err := contentOf(req)
	if err != nil {
		return nil, refuse.NewRefusal(verd.NotRun, refuse.BadRequest, "reading the request's body: %v", err)
	}
	t := try{client: c, model: model, repeats: repeatable(req), verdict: verd.NotRun}
	for {
		res, refusal := t.once(ctx, req, content)
		if refusal == nil {
			return res, nil
		}
		if !t.again(ctx, refusal) {
			return nil, t.final(refusal)
		}
	}
}
