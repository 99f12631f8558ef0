package opctl

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/heads"
	"damaskreach/internal/sess"
)

const (
	nodeTime   = 8 * time.Second // for one node's answer
	mostAnswer = 64 << 20        // bytes of one
	mostFault  = 512             // bytes of a node's own words that are repeated
)

// nodes reaches the operators' ports of a site's nodes.
type nodes struct {
	http  *http.Client
	token string
}

func (t *Tool) nodes() (nodes, error) {
	token, err := t.token()
	if err != nil {
		return nodes{}, err
	}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return t.Dial(ctx, addr) },
	}
	return nodes{http: heads.NewClient(transport), token: token}, nil
}

// sessions returns the sessions of the site, from the node that --node names or from the table, sorted by id.
func (t *Tool) sessions(ctx context.Context, n nodes) ([]sess.Session, error) {
	if t.options.Node != "" {
		s, err := n.status(ctx, t.options.Node, "")
		return s.Nodes, err
	}
	tab, site, err := t.connect()
	if err != nil {
		return nil, err
	}
	all, err := sess.List(ctx, tab, site)
	if err != nil {
		return nil, merry.Prepend(err, "listing the nodes; --node ADDR asks a node in place of the table")
	}
	return all, nil
}

// call sends a request to a node's operators' port and reads the JSON answer into answer unless that is nil.
func (n nodes) call(ctx context.Context, method, addr, path string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, nodeTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	if n.token != "" {
		request.Header.Set("Authorization", "Bearer "+n.token)
	}
	response, err := n.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(io.LimitReader(response.Body, mostFault)) // the status alone says enough
		return merry.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(text)))
	}
	if answer == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(response.Body, mostAnswer)).Decode(answer)
}
