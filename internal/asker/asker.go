// Package asker asks the journals of all nodes of a site and what outlasted nodes that are gone.
package asker

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"damaskreach/internal/event"
	"damaskreach/internal/peer"
	"damaskreach/internal/query"
)

const (
	methodExplain = "explain"

	askTimeout = 2 * time.Second // for one node
	parallel   = 32              // nodes asked at once
	mostEvents = 1000            // returned by one node, and in all
)

// Asker answers operators' questions from any node. The fields are set before Register.
type Asker struct {
	Mesh *peer.Mesh
	// Peers returns the addresses of the site's other nodes.
	Peers func() []string
	// Own returns what this node's journal has.
	Own func(q query.Query) []event.Event
	// Kept returns what outlasts its node.
	Kept func(ctx context.Context, q query.Query) ([]event.Event, error)
}

type explainSaid struct {
	Events []event.Event `msgpack:"events"`
}

// Register answers other nodes' questions from this node's journal.
func (a *Asker) Register() {
	peer.Answer(a.Mesh, methodExplain, func(_ context.Context, _ string, q query.Query) (explainSaid, error) {
		return explainSaid{Events: a.Own(bounded(q))}, nil
	})
}

// Find returns the newest matching events of all nodes, oldest first, and who did not answer: node addresses, or the
// table service as "table". An operator must be told: an answer that leaves a node out reads like proof that it decided nothing.
func (a *Asker) Find(ctx context.Context, q query.Query) (events []event.Event, silent []string) {
	q = bounded(q)
	ctx, cancel := context.WithTimeout(ctx, 2*askTimeout)
	defer cancel()
	var mu sync.Mutex
	lists := [][]event.Event{a.Own(q)}
	add := func(who string, found []event.Event, err error) {
		mu.Lock()
		defer mu.Unlock()
		lists = append(lists, found)
		if err != nil {
			silent = append(silent, who)
		}
	}
	var group errgroup.Group
	group.SetLimit(parallel)
	group.Go(func() error {
		found, err := a.Kept(ctx, q)
		add("table", found, err)
		return nil
	})
	for _, addr := range a.Peers() {
		group.Go(func() error {
			found, err := a.ask(ctx, addr, q)
			add(addr, found, err)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	slices.Sort(silent)
	return q.Newest(event.Merge(lists...)), silent
}

func (a *Asker) ask(ctx context.Context, addr string, q query.Query) ([]event.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var said explainSaid
	err := a.Mesh.Ask(ctx, addr, methodExplain, q, &said)
	return said.Events, err
}

func bounded(q query.Query) query.Query {
	if q.Most <= 0 || q.Most > mostEvents {
		q.Most = mostEvents
	}
	return q
}
