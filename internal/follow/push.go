package follow

import (
	"context"
	"math/rand/v2"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"damaskreach/internal/catlog"
	"damaskreach/internal/peer"
	"damaskreach/internal/rows"
	"damaskreach/internal/snap"
)

const (
	methodRows    = "rows"
	methodWhole   = "configuration"
	maxPushedRows = 256 // a node that misses a larger push asks for the rows
)

// push carries all changes after one revision up to another, or, with both zero, some rows that may not be all.
type push struct {
	After int64      `msgpack:"after"`
	UpTo  int64      `msgpack:"upto"`
	Rows  []rows.Row `msgpack:"rows"`
}

// newPush returns the push for the new rows of a tail. If these are only part of the tail, the push must not claim to be
// complete: a node that lost the push of the other rows would never read them.
func newPush(news []rows.Row, tail push) push {
	if len(news) == len(tail.Rows) {
		return tail
	}
	return push{Rows: news}
}

type pushAnswer struct{}

// snapshotRequest asks a node for its whole configuration if it knows changes beyond a revision.
type snapshotRequest struct {
	Complete int64 `msgpack:"complete"`
}

// snapshotAnswer holds a snapshot, or nothing if the asking node is up to date.
type snapshotAnswer struct {
	Snapshot []byte `msgpack:"snapshot"`
}

// register handles pushes of other nodes and their requests for a snapshot.
func (f *Follow) register() {
	peer.Answer(f.Mesh, methodRows, func(_ context.Context, _ string, p push) (pushAnswer, error) {
		f.update(func(c catlog.Catalog) (catlog.Catalog, []error) { return c.WithTail(p.Rows, p.After, p.UpTo) })
		return pushAnswer{}, nil
	})
	peer.Answer(f.Mesh, methodWhole, func(_ context.Context, _ string, q snapshotRequest) (snapshotAnswer, error) {
		c := f.Catalog()
		if c.Complete() <= q.Complete {
			return snapshotAnswer{}, nil
		}
		data, err := snap.Encode(c.Rows(), c.Complete())
		return snapshotAnswer{Snapshot: data}, err
	})
}

// sendPush pushes changes to the other nodes. A node that loses a push catches up at its next read; one that cannot read the
// table asks a peer, see askPeer.
func (f *Follow) sendPush(ctx context.Context, p push) {
	if len(p.Rows) == 0 || len(p.Rows) > maxPushedRows {
		return
	}
	for _, addr := range f.Peers() {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
			defer cancel()
			_ = f.Mesh.Ask(ctx, addr, methodRows, p, &pushAnswer{}) // see above
		}()
	}
}

// askPeer applies the configuration of another node if it is newer. This keeps nodes up to date that cannot reach the table,
// and gives a configuration to a node that starts during an outage.
func (f *Follow) askPeer(ctx context.Context) {
	addrs := f.Peers()
	if len(addrs) == 0 {
		addrs = f.Seeds
	}
	for _, i := range rand.Perm(len(addrs)) {
		err := f.fetchFrom(ctx, addrs[i])
		if err == nil {
			return
		}
		f.Log.Info("asking a node for its configuration failed", zap.String("addr", addrs[i]), zap.Error(err))
	}
}

func (f *Follow) fetchFrom(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var said snapshotAnswer
	if err := f.Mesh.Ask(ctx, addr, methodWhole, snapshotRequest{Complete: f.Catalog().Complete()}, &said); err != nil {
		return err
	}
	if len(said.Snapshot) == 0 {
		return nil
	}
	return f.applySnapshot(said.Snapshot)
}

// applySnapshot applies the rows of a snapshot; one older than the configuration in force changes nothing.
func (f *Follow) applySnapshot(data []byte) error {
	all, rev, err := snap.Decode(data)
	if err != nil {
		return merry.Prepend(err, "decoding a snapshot")
	}
	f.update(func(c catlog.Catalog) (catlog.Catalog, []error) { return c.WithWhole(all, rev) })
	return nil
}
