package tenure

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/rows"
)

// kept is a claim of an earlier era of the store that this host goes on with until the lease under which it held the engine ends.
type kept struct {
	fence int64
	since time.Duration // when this host got it
	until time.Duration
}

// enter notes that the store answers in a later era: it came back from a copy, and what it had acknowledged last is gone. What this host holds it
// goes on with, since nobody can have taken that; all other claims and sessions of before are void.
func (t *Tenure) enter(era int64, now time.Duration) {
	if era <= t.era {
		return
	}
	before := t.era
	t.keep(now)
	t.era, t.entered, t.calm = era, now, false
	t.renewed, t.unsure, t.epoch = false, false, 0
	clear(t.yielded)
	t.Log.Warn("store in another era", zap.Int64("before", before), zap.Int64("era", era), zap.Int64("read", t.at), zap.Int("hosts", len(t.hosts)),
		zap.Int("engines", len(t.own)), zap.Int("kept", len(t.kept)))
}

// keep notes what this host holds now, beside what it still keeps from before.
func (t *Tenure) keep(now time.Duration) {
	t.dropEnded(now)
	if t.unsure || t.left() <= 0 {
		return
	}
	for id, o := range t.claimed() {
		if left := t.claimLeft(o); left > 0 {
			t.kept[id] = kept{fence: o.Fence, since: o.since, until: now + left}
		}
	}
}

// dropEnded drops the claims of earlier eras whose leases are over.
func (t *Tenure) dropEnded(now time.Duration) {
	maps.DeleteFunc(t.kept, func(_ string, k kept) bool { return k.until <= now })
}

// still returns what this host goes on with of a claim of an earlier era.
func (t *Tenure) still(id string, now time.Duration) (kept, bool) {
	k, ok := t.kept[id]
	if !ok || k.until-now < orderSlack || t.valid(t.own[id]) {
		return kept{}, false
	}
	return k, true
}

// raise has a claim that this host goes on with from an earlier era bear the fence of its claim in this one, by which it gives orders from now on. A late
// write may put a claim of the earlier era over that, and a lower fence must not follow.
func (t *Tenure) raise(id string, o owned) {
	k, ok := t.kept[id]
	if !ok || !t.valid(o) {
		return
	}
	if o.IP != t.IP {
		delete(t.kept, id)
		return
	}
	k.fence, k.since = o.Fence, o.since
	t.kept[id] = k
}

// keptLeft returns how much is left of the longest lease under which this host goes on with claims of an earlier era.
func (t *Tenure) keptLeft() time.Duration {
	now, left := t.Clock(), -Lease
	t.dropEnded(now)
	for id, k := range t.kept {
		if _, ok := t.still(id, now); ok {
			left = max(left, k.until-now)
		}
	}
	return left
}

// compareEra compares the era of a revision, a fence or an epoch with the latest that was seen, as rows.CompareEras does.
func (t *Tenure) compareEra(rev int64) int {
	return rows.CompareEras(rev, rows.At(t.era, 0))
}

// valid reports whether a claim was made in this era. No claim has the fence 0.
func (t *Tenure) valid(o owned) bool {
	return o.Fence > 0 && t.compareEra(o.Fence) == 0
}

// void reports whether a session belongs to an earlier era, or there is none.
func (t *Tenure) void(h seen) bool {
	return h.Epoch == 0 || t.compareEra(h.Epoch) < 0
}

// next returns the fence or epoch of what replaces a row of a revision, 0 where there is none. Within an era no two changes replace a row at the same
// revision, and a later era begins above all of earlier ones, so that none is given out again whatever the store has lost.
func (t *Tenure) next(rev int64) int64 {
	return max(rev, rows.At(t.era, 0)) + 1
}

// wait is how long after the last order of one host another one may give the next, where it does not know when that was: the first may just have
// renewed its lease.
func (t *Tenure) wait() time.Duration {
	return Lease + t.Turn() + margin
}

// settledEra reports whether no lease of an earlier era is left.
func (t *Tenure) settledEra(now time.Duration) bool {
	t.calm = t.calm || now-t.entered >= t.wait()
	return t.calm
}

// lasts reports whether a claim belongs to a session that has not ended.
func (t *Tenure) lasts(o owned) bool {
	h, live := t.hosts[o.IP]
	return live && o.Freed == "" && t.valid(o) && h.Epoch == o.Epoch && !h.Ended
}

// opens returns how long this host must wait until it may claim an engine, as far as others' claims go, and whether it goes on with it from an
// earlier era.
func (t *Tenure) opens(id string, now time.Duration) (in time.Duration, mine bool) {
	o, known := t.own[id]
	if _, mine = t.still(id, now); mine {
		return 0, true
	}
	if !known && t.settledEra(now) {
		return 0, false
	}
	if !known {
		return t.entered + t.wait() - now, false
	}
	h, live := t.hosts[o.IP]
	if !live || !t.valid(o) {
		return o.seen + t.wait() - now, false
	}
	if h.Epoch > o.Epoch || h.Epoch == o.Epoch && h.Ended {
		return 0, false
	}
	if o.Freed != "" && o.Freed == h.Start {
		return o.seen + margin + max(0, t.Turn()-o.Idle) - now, false
	}
	if o.Freed != "" {
		// A later start of the program on that host may have gone on with the engine when it was given up.
		return o.seen + t.wait() - now, false
	}
	// Its session has to be ended first.
	return readEvery, false
}

// untilOpen returns how long the first of the engines that this host may not claim yet has to wait.
func (t *Tenure) untilOpen() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.opensAt - t.Clock()
}

// replace drops all rows before those of a whole reading are taken, where that is of a later era than what this host knew. What the store doesn't
// have any more must not be believed.
func (t *Tenure) replace(rev int64, now time.Duration) {
	era, _ := rows.Era(rev)
	if t.at == 0 {
		t.era, t.entered = era, now
		return
	}
	t.enter(era, now)
	if t.compareEra(t.at) == 0 {
		return
	}
	t.hosts, t.own, t.named = map[string]seen{}, map[string]owned{}, map[string]bool{}
	t.fresh, t.keyed = map[string]time.Duration{}, false
	t.mark = max(t.mark, rev)
}

// outdated reports whether all rows must be read anew, since the store is known to answer in a later era.
func (t *Tenure) outdated() bool {
	return t.at == 0 || t.compareEra(t.at) < 0 || rows.CompareEras(t.at, t.heard) < 0
}

// began reports whether a site that this host finds at its start can have lost nothing of what it wrote before this era: it is new, or a host
// has said that all leases of before are over.
func (t *Tenure) began() bool {
	if len(t.hosts) == 0 {
		return true
	}
	for _, h := range t.hosts {
		if h.Calm && !t.void(h) {
			return true
		}
	}
	return false
}
