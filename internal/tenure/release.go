package tenure

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/rows"
)

// releaseUnreachable releases engines that this host holds and cannot reach but others can; it returns false where some are left.
// The store still renews the lease of such a host, and its engines would load nothing until it reaches them again.
//
// Others may order a released engine once the gap between orders of two hosts has passed since they saw the release. So this host stops
// its orders before it writes the release and until it knows that its claim was replaced: a write without an answer may be applied later.
func (t *Tenure) releaseUnreachable(ctx context.Context) bool {
	edits := t.releaseEdits()
	if len(edits) == 0 {
		return true
	}
	return t.writeRows(ctx, "release of engines", strconv.Itoa(len(edits)), edits...)
}

// releaseEdits returns the rows by which this host releases engines now.
func (t *Tenure) releaseEdits() (edits []rows.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ShouldRelease == nil || !t.hasSession || t.eraOutdated() {
		return nil
	}
	for id, o := range t.ownClaims() {
		if !t.releasing[id] && !t.ShouldRelease(id) {
			continue
		}
		if len(edits) == maxTxEntries-1 {
			break
		}
		t.releasing[id] = true
		next := ownership{IP: t.IP, Epoch: o.Epoch, Fence: t.nextToken(o.rev), ReleasedBy: t.startID, IdleFor: t.idleFor(id, o)}
		t.Log.Info("engine to be given up", zap.String("target", id), zap.Int64("fence", o.Fence), zap.Int64("revision", o.rev))
		edits = append(edits, rows.Row{Key: ownPrefix + id, Value: encode(next), Rev: o.rev})
	}
	return edits
}

// idleFor returns how long this host has sent an engine no order.
func (t *Tenure) idleFor(id string, o ownerRow) time.Duration {
	last := o.heldSince
	if at, ok := t.LastOrder(id); ok {
		last = max(last, at)
	}
	return max(0, t.Clock()-last)
}

// peerReaches reports whether another host reaches engines, as far as is known.
func (t *Tenure) peerReaches(ip string) bool {
	return t.PeerReaches == nil || t.PeerReaches(ip)
}
