package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"damaskreach/internal/stand/site"
)

// entries is the callers' discovery: they keep its answer for its stated life.
type entries struct {
	site *site.Site

	lock  chan struct{} // holds one while the fields below are used; virtual time goes on while a caller waits for it
	nodes []int
	until time.Time
}

type entryList struct {
	Entries []string `json:"entries"`
	Life    float64  `json:"life_seconds"`
}

func newEntries(s *site.Site) *entries {
	e := &entries{site: s, lock: make(chan struct{}, 1)}
	for i := range nodes {
		e.nodes = append(e.nodes, i)
	}
	return e
}

// pick returns the nth of the nodes that discovery names.
func (e *entries) pick(ctx context.Context, n int) int {
	e.lock <- struct{}{}
	defer func() { <-e.lock }()
	if time.Now().After(e.until) {
		e.refresh(ctx)
	}
	return e.nodes[n%len(e.nodes)]
}

func (e *entries) refresh(ctx context.Context) {
	for _, i := range e.nodes {
		list, err := e.ask(ctx, i)
		if err != nil || len(list.Entries) == 0 {
			continue
		}
		e.nodes = known(list.Entries)
		e.until = time.Now().Add(time.Duration(list.Life * float64(time.Second)))
		return
	}
}

func (e *entries) ask(ctx context.Context, i int) (entryList, error) {
	var list entryList
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+site.Host(i)+":8000/v1/entries", nil)
	if err != nil {
		return list, err
	}
	res, err := e.site.Caller().Do(req)
	if err != nil {
		return list, err
	}
	defer func() { _ = res.Body.Close() }()
	return list, json.NewDecoder(res.Body).Decode(&list)
}

// known returns the numbers of the nodes with the addresses given.
func known(addrs []string) []int {
	var found []int
	for _, addr := range addrs {
		for i := range nodes {
			if addr == site.Host(i)+":8000" {
				found = append(found, i)
			}
		}
	}
	return found
}
