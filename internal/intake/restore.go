package intake

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/rows"
	"damaskreach/internal/target"
)

// holdBackIntervals is for how many read intervals a registration that came back with a restored store is held back unless it is
// rewritten: an upstream that is silent for so long has lost its registration.
const holdBackIntervals = 5

// heldBack holds registrations that a store restored from a backup returns and that contradict what this host has learnt since the
// backup: that the upstream was gone, draining or restarted. Upstreams write lost registrations again, and those are newer.
type heldBack struct {
	revs  map[string]int64 // revision of each held-back registration, by ID
	since time.Time
}

// reset forgets what is held back. It is called when all registrations are read for the first time in an era of the store.
func (c *heldBack) reset(now time.Time) {
	c.revs, c.since = map[string]int64{}, now
}

// hold holds back a registration if it is behind what is known of its upstream, and reports whether it did; known is empty for an
// unknown upstream.
func (c *heldBack) hold(known, t target.Target, rev int64) bool {
	if known.SameIncarnation(t) && (t.Draining || !known.Draining) {
		return false
	}
	c.revs[t.ID] = rev
	return true
}

// rewritten reports whether a registration was written since it was held back, or was never held back.
func (c *heldBack) rewritten(id string, rev int64) bool {
	if heldRev, ok := c.revs[id]; ok && rev <= heldRev {
		return false
	}
	delete(c.revs, id)
	return true
}

// retain drops the registrations that are not present.
func (c *heldBack) retain(present map[string]bool) {
	maps.DeleteFunc(c.revs, func(id string, _ int64) bool { return !present[id] })
}

// expired reports whether registrations have been held back for their full time.
func (c *heldBack) expired(now time.Time, interval time.Duration) bool {
	return len(c.revs) > 0 && now.Sub(c.since) > holdBackIntervals*interval
}

// olderEra reports whether a revision is of an earlier era of the store than another. Revision 0, before any reading, has no era.
func olderEra(rev, than int64) bool {
	return rev > 0 && rows.CompareEras(rev, than) < 0
}

// observeEra notes the era of a revision. A new era is logged once, counts as the store's return, and triggers a reading of registrations:
// each host must find out what the backup lacks, however short the outage.
func (i *Intake) observeEra(rev int64) {
	if rev <= 0 {
		return
	}
	era, number := rows.Era(rev)
	known := i.era.Raise(era + 1)
	if known == 0 || known > era {
		return
	}
	i.outage.recordRestore()
	i.Log.Info("store is back from a copy", zap.Int64("era", era), zap.Int64("number", number),
		zap.Int64("configuration", i.confAt.Load()), zap.Int64("registrations", i.targetAt.Load()))
	notify(i.targetWake)
}

// holdBack reports whether a registration comes from the restored backup and is behind what is known of its upstream.
func (i *Intake) holdBack(old, t target.Target, row rows.Row, firstInEra bool) bool {
	if !i.heldBack.rewritten(t.ID, row.Rev) {
		return true
	}
	if !firstInEra || !i.heldBack.hold(old, t, row.Rev) {
		return false
	}
	i.Log.Info("registration of a copy held back", zap.String("target", t.ID), zap.Int64("revision", row.Rev),
		zap.Bool("known", old.ID != ""))
	return true
}
