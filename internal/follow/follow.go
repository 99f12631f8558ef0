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
	tableTimeout = 5 * time.Second
	askTimeout   = time.Second
)

// Follow reads the tail of configuration changes and passes them on to the other nodes at once, so that a change is
// in force after one node's poll and one message. The fields are set before Register.
type Follow struct {
	Table table.Table
	Mesh  *peer.Mesh
	Poll  time.Duration
	Log   *zap.Logger
	// Name is the node's; it says when within the interval this node reads.
	Name string
	// Peers returns the addresses of the other nodes.
	Peers func() []string
	// Seeds are addresses of nodes to ask while no others are known; see askPeer.
	Seeds []string
	// Objects holds snapshots; without functions none are read or written.
	Objects object.Object
	// Chosen reports whether this node, of all that serve, is the one to do a task.
	Chosen func(task string) bool

	mu      sync.Mutex
	catalog catlog.Catalog
}

// Register takes the changes that other nodes pass on.
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
// A site's nodes are often started in the same moment. Did they go on to read in the same moments, each would be the
// first to see every change and push it to all others; therefore each waits for its own part of the interval once.
func (f *Follow) Run(ctx context.Context) {
	f.loadSnapshot(ctx)
	go f.keepSnapshots(ctx)
	f.turn(ctx)
	select {
	case <-time.After(phase(f.Name, f.Poll)):
	case <-ctx.Done():
		return
	}
	for range ticker.Repeat(ctx, f.Poll, nil) {
		f.turn(ctx)
	}
}

func (f *Follow) turn(ctx context.Context) {
	if err := f.Read(ctx); err != nil {
		f.Log.Warn("reading the configuration tail failed; a peer is asked", zap.Error(err))
		f.askPeer(ctx)
	}
}

// phase returns a part of the interval by the hash of a name.
func phase(name string, interval time.Duration) time.Duration {
	sum := sha256.Sum256([]byte(name))
	return time.Duration(binary.BigEndian.Uint64(sum[:]) % uint64(interval))
}

// Read takes all changes since the last reading and passes on those that were not in force before.
//
// A tail brings what a peer has pushed meanwhile once more, and the table's revision rises with every session that is
// renewed: neither tells what is news. Were known rows passed on, each of n nodes might push one change to all others.
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
	f.spread(ctx, newPush(news, push{After: after, UpTo: rev, Rows: changed}))
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

// update puts changes in force.
func (f *Follow) update(change func(c catlog.Catalog) (catlog.Catalog, []error)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next, faults := change(f.catalog)
	f.catalog = next
	for _, fault := range faults {
		f.Log.Warn("a configuration row was rejected; the last good one stays", zap.Error(fault))
	}
}
