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
	methodRows  = "rows"
	methodWhole = "configuration"
	mostPushed  = 256 // rows passed on at once; a node that misses more asks for them
)

// push carries all changes after one revision up to another, or some rows without a claim to be all; then both are zero.
type push struct {
	After int64      `msgpack:"after"`
	UpTo  int64      `msgpack:"upto"`
	Rows  []rows.Row `msgpack:"rows"`
}

// newPush returns what is to be passed on of a tail: its news. Where that is a part of it only, the push must not say that
// it is all: a node that lost the push of the other rows would never read them.
func newPush(news []rows.Row, tail push) push {
	if len(news) == len(tail.Rows) {
		return tail
	}
	return push{Rows: news}
}

type pushSaid struct{}

// wholeAsk asks for the whole configuration of a node that has every change beyond a revision.
type wholeAsk struct {
	Complete int64 `msgpack:"complete"`
}

// wholeSaid holds a snapshot, or nothing where the asker knows as much.
type wholeSaid struct {
	Snapshot []byte `msgpack:"snapshot"`
}

// register takes the changes that other nodes pass on and answers those that ask for all.
func (f *Follow) register() {
	peer.Answer(f.Mesh, methodRows, func(_ context.Context, _ string, p push) (pushSaid, error) {
		f.update(func(c catlog.Catalog) (catlog.Catalog, []error) { return c.WithTail(p.Rows, p.After, p.UpTo) })
		return pushSaid{}, nil
	})
	peer.Answer(f.Mesh, methodWhole, func(_ context.Context, _ string, q wholeAsk) (wholeSaid, error) {
		c := f.Catalog()
		if c.Complete() <= q.Complete {
			return wholeSaid{}, nil
		}
		data, err := snap.Encode(c.Rows(), c.Complete())
		return wholeSaid{Snapshot: data}, err
	})
}

// spread passes changes on to the other nodes. A push that is lost leaves its receiver behind until its own next
// reading; one that cannot read the table asks a peer, see askPeer.
func (f *Follow) spread(ctx context.Context, p push) {
	if len(p.Rows) == 0 || len(p.Rows) > mostPushed {
		return
	}
	for _, addr := range f.Peers() {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
			defer cancel()
			_ = f.Mesh.Ask(ctx, addr, methodRows, p, &pushSaid{}) // see above
		}()
	}
}

// askPeer takes the configuration of another node, if that is further on. Nodes that cannot reach the table service
// stay in step this way, and a node that starts in an outage gets a configuration at all.
func (f *Follow) askPeer(ctx context.Context) {
	addrs := f.Peers()
	if len(addrs) == 0 {
		addrs = f.Seeds
	}
	for _, i := range rand.Perm(len(addrs)) {
		err := f.askFrom(ctx, addrs[i])
		if err == nil {
			return
		}
		f.Log.Info("asking a node for its configuration failed", zap.String("addr", addrs[i]), zap.Error(err))
	}
}

func (f *Follow) askFrom(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var said wholeSaid
	if err := f.Mesh.Ask(ctx, addr, methodWhole, wholeAsk{Complete: f.Catalog().Complete()}, &said); err != nil {
		return err
	}
	if len(said.Snapshot) == 0 {
		return nil
	}
	return f.takeSnapshot(said.Snapshot)
}

// takeSnapshot puts the rows of a snapshot in force; one older than what is in force changes nothing.
func (f *Follow) takeSnapshot(data []byte) error {
	all, rev, err := snap.Decode(data)
	if err != nil {
		return merry.Prepend(err, "taking a snapshot in")
	}
	f.update(func(c catlog.Catalog) (catlog.Catalog, []error) { return c.WithWhole(all, rev) })
	return nil
}
