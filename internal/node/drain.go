package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/loop"
)

const (
	drainPoll    = 100 * time.Millisecond
	releaseTries = 3
	mostBequest  = 1000 // decisions of an ending node that are kept, beside those that are in any case
)

// Drain starts a graceful shutdown; Run returns once it is complete. Further calls change nothing.
//
// Discovery drops the node at once and its runners go to other nodes, but it serves on for longer than a discovery
// answer's stated life, since callers keep those. Then it refuses new requests as not run and finishes what runs.
func (n *Node) Drain() {
	if n.draining.CompareAndSwap(false, true) {
		close(n.drain)
	}
}

func (n *Node) finish(ctx context.Context) {
	n.Log.Info("draining")
	n.lease.Leave()
	_ = n.loop.Do(ctx, n.owner.Leave)
	sleep(ctx, n.Conf.Drain)
	n.closed.Store(true)
	for ctx.Err() == nil && !n.idle(ctx) {
		sleep(ctx, drainPoll)
	}
	n.release(ctx)
	n.Log.Info("drained")
}

// release ends the session. A renewal may come in between and raise the row's revision, so it tries again.
func (n *Node) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.Conf.Lease)
	defer cancel()
	n.bequeath(ctx)
	for range releaseTries {
		err := n.lease.Release(ctx)
		if err == nil {
			return
		}
		n.Log.Warn("ending the session failed; others wait for the lease to end", zap.Error(err))
		sleep(ctx, drainPoll)
	}
}

// bequeath has the ledger keep this node's refusals, failed loads and the like, which its journal would take along. No caller
// is served any more, so that none is refused afterwards and unexplained.
func (n *Node) bequeath(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.Conf.Lease/2) // the rest is for ending the session
	defer cancel()
	if err := n.callers.Shutdown(ctx); err != nil {
		n.Log.Info("closing the callers' connections took too long", zap.Error(err))
	}
	for _, e := range n.audit.Rare(mostBequest) {
		if !e.Why.Lasting() {
			n.ledger.Add(e)
		}
	}
	n.ledger.Flush(ctx)
}

// idle reports whether no request runs through this node, as entry or as owner.
func (n *Node) idle(ctx context.Context) bool {
	running, err := loop.Get(ctx, n.loop, n.owner.Running)
	return err == nil && running == 0 && n.entry.Active() == 0
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
