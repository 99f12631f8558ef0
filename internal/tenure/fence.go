package tenure

import (
	"iter"
	"time"
)

// Fence returns the fencing token with which this host may send an engine an order now; false means that it may not.
func (t *Tenure) Fence(id string) (int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fence, _, ok := t.heldClaim(id, 0)
	return fence, ok
}

// heldClaim returns the claim under which this host holds something now, or held it until a lease that ended at most beyond ago.
func (t *Tenure) heldClaim(id string, beyond time.Duration) (fence int64, since time.Duration, ok bool) {
	if t.withholdsOrders(id) {
		return 0, 0, false
	}
	if k, ok := t.carriedOver(id, t.Clock()); ok {
		return k.fence, k.heldSince, true
	}
	o, ok := t.owners[id]
	if !ok || t.ownersStale || o.ReleasedBy != "" || o.IP != t.IP || o.Epoch != t.epoch || t.claimLeft(o)+beyond < minOrderLease {
		return 0, 0, false
	}
	return o.Fence, o.heldSince, true
}

// LimitFence returns the token under which this host counts a shard of teams' limits, and since when it holds the shard: at the earliest
// since this process started, as its predecessor was dead by then. It outlasts the lease by the gap between orders of two hosts: nobody
// else can hold the shard during that time, and counting need not pause for it.
func (t *Tenure) LimitFence(shard string) (fence int64, since time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heldClaim(shard, t.OrderGap())
}

// Owner returns the IP of the host that owns an engine, empty where none is known.
func (t *Tenure) Owner(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.carriedOver(id, t.Clock()); ok {
		return t.IP
	}
	if o := t.owners[id]; o.ReleasedBy == "" {
		return o.IP
	}
	return ""
}

// OwnedEngines returns the engines to which this host may send orders.
func (t *Tenure) OwnedEngines() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id := range t.carried {
		if _, ok := t.carriedOver(id, t.Clock()); ok && !t.withholdsOrders(id) {
			ids = append(ids, id)
		}
	}
	if t.ownersStale || t.sessionLeft() < minOrderLease {
		return ids
	}
	for id, o := range t.ownClaims() {
		if t.claimLeft(o) >= minOrderLease && !t.withholdsOrders(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// withholdsOrders reports whether this host sends an engine no orders although it holds it.
func (t *Tenure) withholdsOrders(id string) bool {
	return t.releasing[id] || t.Blocked != nil && t.Blocked(id)
}

// ownClaims returns the engines whose rows name this host's current session.
func (t *Tenure) ownClaims() iter.Seq2[string, ownerRow] {
	return func(yield func(string, ownerRow) bool) {
		for id := range t.ownIDs {
			if o := t.owners[id]; o.Epoch == t.epoch && o.ReleasedBy == "" && !yield(id, o) {
				return
			}
		}
	}
}
