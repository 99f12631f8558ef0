// Package force waits until a revision of the configuration is in force on every node.
package force

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"damaskreach/internal/heads"
	"damaskreach/internal/sess"
	"damaskreach/internal/table"
	"damaskreach/internal/ticker"
)

const (
	pause    = 200 * time.Millisecond
	askTime  = 2 * time.Second // for one node's answer
	parallel = 64              // nodes asked at once
	maxBody  = 64 << 20        // bytes of an answer
)

// Force asks the nodes of a site for the revision they have in force.
type Force struct {
	table table.Table
	site  string
	http  *http.Client
	token string
}

// NewForce returns a way to ask the nodes that have a session in the table; an empty site means all sites.
// token is the operator's key, sent to the nodes where it is not empty.
func NewForce(t table.Table, site, token string, dial func(ctx context.Context, addr string) (net.Conn, error)) Force {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) },
	}
	return Force{table: t, site: site, token: token, http: heads.NewClient(transport)}
}

// status is the part of a node's answer to GET /status that matters here.
type status struct {
	Complete int64    `json:"complete"`
	Rejected []string `json:"rejected"`
}

// Wait asks until every node has every change up to rev or ctx ends.
// It returns the number of nodes, those that lag with the reason, and what nodes rejected among the rows of keys.
func (f Force) Wait(ctx context.Context, rev int64, keys []string) (count int, lags, rejected []string, err error) {
	sessions, err := f.sessions(ctx)
	if err != nil {
		return 0, nil, nil, err
	}
	defer f.http.CloseIdleConnections()
	waiting := sessions
	refusals := make(map[string]bool)
	for {
		answers := f.round(ctx, waiting, rev)
		waiting, lags = nil, nil
		for _, a := range answers {
			for _, text := range about(a.rejected, keys) {
				refusals[text] = true
			}
			if a.lag != "" {
				waiting = append(waiting, a.node)
				lags = append(lags, a.node.ID()+" "+a.lag)
			}
		}
		if len(waiting) == 0 || !ticker.Sleep(ctx, pause) {
			break
		}
	}
	for text := range refusals {
		rejected = append(rejected, text)
	}
	slices.Sort(rejected)
	return len(sessions), lags, rejected, nil
}

func (f Force) sessions(ctx context.Context) ([]sess.Session, error) {
	sessions, err := sess.List(ctx, f.table, f.site)
	if err != nil {
		return nil, merry.Prepend(err, "listing the nodes")
	}
	return sessions, nil
}

// answer is what one node said; an empty lag means that it has the revision.
type answer struct {
	node     sess.Session
	lag      string
	rejected []string
}

func (f Force) round(ctx context.Context, nodes []sess.Session, rev int64) []answer {
	answers := make([]answer, len(nodes))
	var group errgroup.Group
	group.SetLimit(parallel)
	for i, node := range nodes {
		group.Go(func() error {
			answers[i] = f.ask(ctx, node, rev)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	return answers
}

func (f Force) ask(ctx context.Context, node sess.Session, rev int64) answer {
	a := answer{node: node}
	s, err := f.get(ctx, node.Admin)
	switch {
	case err != nil:
		a.lag = "does not answer: " + err.Error()
	case s.Complete < rev:
		a.lag = merry.Errorf("has revision %d in force", s.Complete).Error()
	}
	a.rejected = s.Rejected
	return a
}

func (f Force) get(ctx context.Context, addr string) (status, error) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	var s status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/status?short", nil)
	if err != nil {
		return s, err
	}
	if f.token != "" {
		request.Header.Set("Authorization", "Bearer "+f.token)
	}
	response, err := f.http.Do(request)
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return s, merry.Errorf("status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxBody)).Decode(&s)
	return s, err
}

// about returns the rejections that concern rows of keys.
func about(rejected, keys []string) []string {
	var found []string
	for _, text := range rejected {
		key, _, _ := strings.Cut(text, ": ")
		if slices.Contains(keys, key) {
			found = append(found, text)
		}
	}
	return found
}
