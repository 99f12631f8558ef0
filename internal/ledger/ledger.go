// Package ledger keeps unloads and changes of ownership beyond the life of the node that decided them.
//
// Every node passes such events to one node of its site, the keeper, found by rendezvous hash. The keeper gathers them
// and writes one row of the table service for each window, so that the writes do not grow with the number of nodes: one
// keeper writes once a second at most. A node forgets an event only once the keeper says that it is written. What is
// lost is at most what a node that dies had not yet passed on, and what both it and its keeper had not written.
package ledger

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/event"
	"damaskreach/internal/peer"
	"damaskreach/internal/rows"
	"damaskreach/internal/sess"
	"damaskreach/internal/table"
	"damaskreach/internal/ticker"
)

const (
	methodKeep = "keep"
	keeperKey  = "ledger" // whose home is the keeper

	tick       = time.Second
	window     = 10 * time.Second       // how long a keeper gathers for one row
	least      = time.Second            // between two writes
	askTimeout = window + 5*time.Second // the answer comes once the row is written
	mostSent   = 500                    // events passed on at once
	mostHeld   = 4096                   // events of this node that wait to be written; the oldest are dropped
	life       = 24 * time.Hour         // for which rows are kept, to the hour
	lookBack   = 7 * 24 * time.Hour     // how far back a new keeper looks for rows that an earlier one left
)

// Ledger is a node's part in keeping events. The fields are set before Register.
type Ledger struct {
	Site  string
	Mesh  *peer.Mesh
	Table table.Table
	Log   *zap.Logger
	// Home returns the home of a key and whether it is this node.
	Home func(ctx context.Context, key string) (sess.Session, bool, error)

	mu       sync.Mutex
	held     []event.Event // of this node, to be passed on
	flying   []event.Event // of this node, passed on and not known to be written
	dropped  int           // how many of held were given up
	gathered []event.Event // as keeper, for the next row
	waiting  []chan error  // those whose events are in gathered
	urgent   bool          // write without waiting for the window
	since    time.Time     // first of gathered
	written  time.Time     // latest write
	stale    []rows.Row    // to be deleted; of the writing goroutine, as is cursor
	cursor   time.Time     // hour to be looked through for stale rows next
}

type keepAsk struct {
	Events []event.Event `msgpack:"events"`
	Urgent bool          `msgpack:"urgent"` // the sender is about to end
}

type keepSaid struct{}

// Register takes other nodes' events.
func (l *Ledger) Register() {
	peer.Answer(l.Mesh, methodKeep, func(ctx context.Context, _ string, q keepAsk) (keepSaid, error) {
		return keepSaid{}, l.keep(ctx, q)
	})
}

// Add takes an event of this node.
func (l *Ledger) Add(e event.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.At = e.At.Round(0).UTC()
	l.hold(append(l.held, e))
}

// hold keeps the newest of events to be passed on. It needs the lock.
func (l *Ledger) hold(events []event.Event) {
	over := max(0, len(events)-mostHeld)
	l.held = events[over:]
	l.dropped += over
}

// Dropped returns how many events of this node were given up, since the table service was down for too long.
func (l *Ledger) Dropped() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// Run passes events on and writes, as keeper, those of others until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	go l.write(ctx)
	for range ticker.Every(ctx, tick) {
		if batch := l.take(); len(batch) > 0 {
			go func() { _ = l.pass(ctx, batch, false) }() // a later pass repeats it
		}
	}
}

// Flush has all events of this node written at once and returns when they are, or when writing failed or ctx ended.
// Events that were passed on already go again: their keeper may be this very node, which is about to end.
func (l *Ledger) Flush(ctx context.Context) {
	l.mu.Lock()
	l.urgent = l.urgent || len(l.gathered) > 0
	l.held = slices.Concat(l.flying, l.held)
	l.mu.Unlock()
	for ctx.Err() == nil {
		batch := l.take()
		if len(batch) == 0 || l.pass(ctx, batch, true) != nil {
			return
		}
	}
}

// take moves events from held to flying.
func (l *Ledger) take() []event.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := min(len(l.held), mostSent)
	batch := slices.Clone(l.held[:count])
	l.held = slices.Clone(l.held[count:])
	l.flying = append(l.flying, batch...)
	return batch
}

// pass gives events to the keeper. Those that are not known to be written are passed on again, perhaps to another keeper;
// readers drop what they find twice.
func (l *Ledger) pass(ctx context.Context, batch []event.Event, urgent bool) error {
	err := l.send(ctx, keepAsk{Events: batch, Urgent: urgent})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flying = slices.DeleteFunc(l.flying, func(e event.Event) bool { return slices.Contains(batch, e) })
	if err != nil {
		l.Log.Info("passing decisions on failed and is repeated", zap.Int("count", len(batch)), zap.Error(err))
		l.hold(append(batch, l.held...))
	}
	return err
}

func (l *Ledger) send(ctx context.Context, q keepAsk) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	at, local, err := l.Home(ctx, keeperKey)
	if err != nil {
		return err
	}
	if local {
		return l.keep(ctx, q)
	}
	return l.Mesh.Ask(ctx, at.Peer, methodKeep, q, &keepSaid{})
}
