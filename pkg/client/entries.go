package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"damaskreach/internal/heads"
)

const (
	askTime   = 2 * time.Second // for one node to answer a discovery question
	mostLists = 1024            // discovery answers kept
	listLimit = 1 << 20         // bytes of a discovery answer
)

// list is a discovery answer.
type list struct {
	Entries []string `json:"entries"`
	Life    float64  `json:"life_seconds"`

	until time.Time
}

// entries returns the nodes to use for a model, best first: by the last discovery answer while that holds, else by a new
// one. Where no node answers, the old answer is better than none.
func (c *Client) entries(ctx context.Context, model string) []string {
	c.mu.Lock()
	known := c.lists[model]
	c.serial++
	turn := c.serial
	c.mu.Unlock()
	if time.Now().Before(known.until) {
		return ordered(known.Entries, model, turn)
	}
	asked := slices.Concat(ordered(known.Entries, "", turn), ordered(c.first, "", turn))
	for _, addr := range asked {
		if found, ok := c.ask(ctx, addr, model); ok {
			c.keep(model, found)
			return ordered(found.Entries, model, turn)
		}
	}
	return asked
}

// ordered returns entries in the order of use. The order in which discovery names them is for the model; requests without
// one are spread.
func ordered(entries []string, model string, turn int) []string {
	if model != "" || len(entries) == 0 {
		return entries
	}
	first := turn % len(entries)
	return slices.Concat(entries[first:], entries[:first])
}

func (c *Client) ask(ctx context.Context, addr, model string) (list, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	query := url.Values{"model": {model}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/entries?"+query.Encode(), nil)
	if err != nil {
		return list{}, false
	}
	res, err := heads.Transport{RoundTripper: c.kept}.RoundTrip(req)
	if err != nil {
		return list{}, false
	}
	defer func() { _ = res.Body.Close() }()
	var found list
	err = json.NewDecoder(io.LimitReader(res.Body, listLimit)).Decode(&found)
	return found, err == nil && res.StatusCode == http.StatusOK && len(found.Entries) > 0
}

func (c *Client) keep(model string, found list) {
	found.until = time.Now().Add(time.Duration(found.Life * float64(time.Second)))
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.lists) >= mostLists {
		clear(c.lists)
	}
	c.lists[model] = found
}
