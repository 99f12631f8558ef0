// Package follow keeps a node's configuration in step with the operators' table.
package follow

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/catlog"
	"damaskreach/internal/object"
	"damaskreach/internal/peer"
	"damaskreach/internal/rows"
	"damaskreach/internal/table"
	"damaskreach/internal/ticker"
)

const (
	tableTimeout   = 5 * time.Second
	requestTimeout = time.Second
)

// Follow polls the table for configuration changes and pushes them to the other nodes, so that a change takes effect after
// one node's poll and one message. The fields are set before Register.
type Follow struct {
	Table table.Table
	Mesh  *peer.Mesh
	Poll  time.Duration
	Log   *zap.Logger
	// Name is the node's name; it determines the node's phase within the poll interval.
	Name string
	// Peers returns the addresses of the other nodes.
	Peers func() []string
	// Seeds are addresses of nodes to ask while no peers are known; see askPeer.
	Seeds []string
	// Objects stores snapshots; nil functions disable reading or writing them.
	Objects object.Object
	// Chosen reports whether this node is the one among all serving nodes to do a task.
	Chosen func(task string) bool

	mu      sync.Mutex
	catalog catlog.Catalog
}

// Register registers the handlers for messages of other nodes.
func (f *Follow) Register() {
	f.catalog = catlog.NewCatalog()
	f.register()
}

// Catalog returns the configuration in force.
func (f *Follow) Catalog() catlog.Catalog {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog
}

// Run follows the table until ctx ends.
//
// Nodes of a site often start together. If they also polled together, each would see every change first and push it to all
// others, so each node first waits for its phase of the interval.
func (f *Follow) Run(ctx context.Context) {
	f.loadSnapshot(ctx)
	go f.keepSnapshots(ctx)
	f.poll(ctx)
	select {
	case <-time.After(phase(f.Name, f.Poll)):
	case <-ctx.Done():
		return
	}
	for range ticker.Repeat(ctx, f.Poll, nil) {
		f.poll(ctx)
	}
}

func (f *Follow) poll(ctx context.Context) {
	if err := f.Read(ctx); err != nil {
		f.Log.Warn("reading the configuration tail failed; a peer is asked", zap.Error(err))
		f.askPeer(ctx)
	}
}

// phase derives an offset within the interval from the hash of a name.
func phase(name string, interval time.Duration) time.Duration {
	sum := sha256.Sum256([]byte(name))
	return time.Duration(binary.BigEndian.Uint64(sum[:]) % uint64(interval))
}

// Read applies all changes since the last read and pushes those that were not yet known.
//
// A tail repeats rows that peers have pushed, and every session renewal raises the table's revision, so neither shows that a
// row is new. If known rows were pushed, each of n nodes might push one change to all others.
func (f *Follow) Read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	after := f.Catalog().Complete()
	changed, rev, err := f.Table.Tail(ctx, table.PrefixConf, after)
	if errors.Is(err, table.ErrCompacted) {
		return f.readWhole(ctx)
	}
	if err != nil {
		return err
	}
	var news []rows.Row
	f.update(func(c catlog.Catalog) (catlog.Catalog, []error) {
		news = c.News(changed)
		return c.WithTail(changed, after, rev)
	})
	f.sendPush(ctx, newPush(news, push{After: after, UpTo: rev, Rows: changed}))
	return nil
}

func (f *Follow) readWhole(ctx context.Context) error {
	all, rev, err := f.Table.List(ctx, table.PrefixConf)
	if err != nil {
		return err
	}
	f.update(func(c catlog.Catalog) (catlog.Catalog, []error) { return c.WithWhole(all, rev) })
	return nil
}

// update applies changes to the configuration in force and logs rejected rows.
func (f *Follow) update(change func(c catlog.Catalog) (catlog.Catalog, []error)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next, faults := change(f.catalog)
	f.catalog = next
	for _, fault := range faults {
		f.Log.Warn("a configuration row was rejected; the last good one stays", zap.Error(fault))
	}
}
