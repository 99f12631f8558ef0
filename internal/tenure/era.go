package tenure

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/rows"
)

// carriedClaim is a claim of an earlier era of the store on which this host acts until the lease under which it was held ends.
type carriedClaim struct {
	fence     int64
	heldSince time.Duration // when this host got the engine
	expires   time.Duration
}

// enterEra notes that the store answers in a later era: it was restored from a backup and has lost the newest acknowledged writes. This
// host keeps the engines that it holds, since nobody can have taken those; all other claims and sessions of earlier eras are void.
func (t *Tenure) enterEra(era int64, now time.Duration) {
	if era <= t.era {
		return
	}
	before := t.era
	t.carryOver(now)
	t.era, t.eraSeenAt, t.eraSettled = era, now, false
	t.hasSession, t.passiveSession, t.ownersStale, t.epoch = false, false, false, 0
	clear(t.releasing)
	t.Log.Warn("store in another era", zap.Int64("before", before), zap.Int64("era", era), zap.Int64("read", t.readRev),
		zap.Int("hosts", len(t.hosts)), zap.Int("engines", len(t.owners)), zap.Int("kept", len(t.carried)))
}

// carryOver notes what this host holds now, beside what it still carries from before.
func (t *Tenure) carryOver(now time.Duration) {
	t.dropExpired(now)
	if t.ownersStale || t.sessionLeft() <= 0 {
		return
	}
	for id, o := range t.ownClaims() {
		if left := t.claimLeft(o); left > 0 {
			t.carried[id] = carriedClaim{fence: o.Fence, heldSince: o.heldSince, expires: now + left}
		}
	}
}

// dropExpired drops the claims of earlier eras whose leases have ended.
func (t *Tenure) dropExpired(now time.Duration) {
	maps.DeleteFunc(t.carried, func(_ string, k carriedClaim) bool { return k.expires <= now })
}

// carriedOver returns the claim of an earlier era under which this host still holds an engine.
func (t *Tenure) carriedOver(id string, now time.Duration) (carriedClaim, bool) {
	k, ok := t.carried[id]
	if !ok || k.expires-now < minOrderLease || t.inCurrentEra(t.owners[id]) {
		return carriedClaim{}, false
	}
	return k, true
}

// raiseFence gives a carried claim the fence of this host's claim in the current era, which its orders bear from now on. A late write may
// put a claim of the earlier era over the current one, and a lower fence must not follow.
func (t *Tenure) raiseFence(id string, o ownerRow) {
	k, ok := t.carried[id]
	if !ok || !t.inCurrentEra(o) {
		return
	}
	if o.IP != t.IP {
		delete(t.carried, id)
		return
	}
	k.fence, k.heldSince = o.Fence, o.heldSince
	t.carried[id] = k
}

// carriedLeft returns how much is left of the longest lease on carried claims.
func (t *Tenure) carriedLeft() time.Duration {
	now, left := t.Clock(), -Lease
	t.dropExpired(now)
	for id, k := range t.carried {
		if _, ok := t.carriedOver(id, now); ok {
			left = max(left, k.expires-now)
		}
	}
	return left
}

// compareEra compares the era of a revision, a fence or an epoch with the newest one seen, as rows.CompareEras does.
func (t *Tenure) compareEra(rev int64) int {
	return rows.CompareEras(rev, rows.NewRev(t.era, 0))
}

// inCurrentEra reports whether a claim was made in the current era. No claim has the fence 0.
func (t *Tenure) inCurrentEra(o ownerRow) bool {
	return o.Fence > 0 && t.compareEra(o.Fence) == 0
}

// sessionVoid reports whether there is no session or it belongs to an earlier era.
func (t *Tenure) sessionVoid(h hostRow) bool {
	return h.Epoch == 0 || t.compareEra(h.Epoch) < 0
}

// nextToken returns the fence or epoch of what replaces a row at a revision, 0 where there is none. Within an era no two changes replace a
// row at the same revision, and a later era begins above all earlier ones, so no token is issued twice whatever the store has lost.
func (t *Tenure) nextToken(rev int64) int64 {
	return max(rev, rows.NewRev(t.era, 0)) + 1
}

// takeoverWait is how long after the last order of one host another one may send the next, where it does not know when that was: the
// first may just have renewed its lease.
func (t *Tenure) takeoverWait() time.Duration {
	return Lease + t.OrderGap() + handoverMargin
}

// checkEraSettled notes and reports whether no lease of an earlier era can still be in force.
func (t *Tenure) checkEraSettled(now time.Duration) bool {
	t.eraSettled = t.eraSettled || now-t.eraSeenAt >= t.takeoverWait()
	return t.eraSettled
}

// isOwned reports whether a claim belongs to a session that has not ended.
func (t *Tenure) isOwned(o ownerRow) bool {
	h, live := t.hosts[o.IP]
	return live && o.ReleasedBy == "" && t.inCurrentEra(o) && h.Epoch == o.Epoch && !h.Ended
}

// claimableIn returns how long this host must wait before it may claim an engine, as far as others' claims go, and whether it still holds
// the engine from an earlier era.
func (t *Tenure) claimableIn(id string, now time.Duration) (in time.Duration, carried bool) {
	o, known := t.owners[id]
	if _, carried = t.carriedOver(id, now); carried {
		return 0, true
	}
	if !known && t.checkEraSettled(now) {
		return 0, false
	}
	if !known {
		return t.eraSeenAt + t.takeoverWait() - now, false
	}
	h, live := t.hosts[o.IP]
	if !live || !t.inCurrentEra(o) {
		return o.seenAt + t.takeoverWait() - now, false
	}
	if h.Epoch > o.Epoch || h.Epoch == o.Epoch && h.Ended {
		return 0, false
	}
	if o.ReleasedBy != "" && o.ReleasedBy == h.StartID {
		return o.seenAt + handoverMargin + max(0, t.OrderGap()-o.IdleFor) - now, false
	}
	if o.ReleasedBy != "" {
		// The engine may have been released while a later process on that host used it.
		return o.seenAt + t.takeoverWait() - now, false
	}
	// The owner's session has to be ended first.
	return readInterval, false
}

// nextClaimIn returns the shortest wait among the engines that this host may not claim yet.
func (t *Tenure) nextClaimIn() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nextClaimAt - t.Clock()
}

// resetRows drops all rows before a full list is applied, where the list is of a later era than the known rows: what the store has lost
// must not be trusted.
func (t *Tenure) resetRows(rev int64, now time.Duration) {
	era, _ := rows.Era(rev)
	if t.readRev == 0 {
		t.era, t.eraSeenAt = era, now
		return
	}
	t.enterEra(era, now)
	if t.compareEra(t.readRev) == 0 {
		return
	}
	t.hosts, t.owners, t.ownIDs = map[string]hostRow{}, map[string]ownerRow{}, map[string]bool{}
	t.unownedSince, t.secretStored = map[string]time.Duration{}, false
	t.newestRev = max(t.newestRev, rev)
}

// eraOutdated reports whether all rows must be read anew, since the store is known to answer in a later era.
func (t *Tenure) eraOutdated() bool {
	return t.readRev == 0 || t.compareEra(t.readRev) < 0 || rows.CompareEras(t.readRev, t.peerRev) < 0
}

// nothingLost reports whether the rows that this host finds at its start cannot lack claims of an earlier era: there are none, or a host
// has recorded that all earlier leases have ended.
func (t *Tenure) nothingLost() bool {
	if len(t.hosts) == 0 {
		return true
	}
	for _, h := range t.hosts {
		if h.EraSettled && !t.sessionVoid(h) {
			return true
		}
	}
	return false
}
