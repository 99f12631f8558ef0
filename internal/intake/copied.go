package intake

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/rows"
	"damaskreach/internal/target"
)

// copiedFor is for how many pauses between two readings a registration that only a copy has waits to be written again: an upstream that is
// silent for so long has lost it.
const copiedFor = 5

// copied holds back what registrations say that the store has from an older copy, where a host has learnt otherwise: an upstream that was gone, that
// had begun to leave, or that had started again. Upstreams write again what is lost, and whatever they write then is newer.
type copied struct {
	waits map[string]int64 // revision of each registration that is held back, by id
	since time.Time
}

// begin takes that all registrations are read for the first time in an era of the store.
func (c *copied) begin(now time.Time) {
	c.waits, c.since = map[string]int64{}, now
}

// hold holds a registration back that says less than is known of its upstream; old is empty where nothing is.
func (c *copied) hold(old, t target.Target, rev int64) bool {
	if old.SameIncarnation(t) && (t.Draining || !old.Draining) {
		return false
	}
	c.waits[t.ID] = rev
	return true
}

// written reports whether a registration was written since it was held back, or was not.
func (c *copied) written(id string, rev int64) bool {
	if at, ok := c.waits[id]; ok && rev <= at {
		return false
	}
	delete(c.waits, id)
	return true
}

// keep drops registrations that are gone.
func (c *copied) keep(present map[string]bool) {
	maps.DeleteFunc(c.waits, func(id string, _ int64) bool { return !present[id] })
}

// long reports whether registrations have waited for long enough.
func (c *copied) long(now time.Time, every time.Duration) bool {
	return len(c.waits) > 0 && now.Sub(c.since) > copiedFor*every
}

// older reports whether a revision is of an earlier era of the store than another one. What a host took before it has read anything is of none.
func older(rev, than int64) bool {
	return rev > 0 && rows.CompareEras(rev, than) < 0
}

// entered takes that this host has learnt of a revision. It says so once where the store's era is a new one, counts as the store's return, and
// has registrations read: each host must know what the copy lacks, however short the store was away.
func (i *Intake) entered(rev int64) {
	if rev <= 0 {
		return
	}
	era, number := rows.Era(rev)
	known := i.era.Raise(era + 1)
	if known == 0 || known > era {
		return
	}
	i.outage.lost()
	i.Log.Info("store is back from a copy", zap.Int64("era", era), zap.Int64("number", number),
		zap.Int64("configuration", i.confAt.Load()), zap.Int64("registrations", i.targetAt.Load()))
	nudge(i.targetWake)
}

// holdBack reports whether a registration is as it was in the copy from which the store came back, and says less than is known of its upstream.
func (i *Intake) holdBack(old, t target.Target, row rows.Row, first bool) bool {
	if !i.copied.written(t.ID, row.Rev) {
		return true
	}
	if !first || !i.copied.hold(old, t, row.Rev) {
		return false
	}
	i.Log.Info("registration of a copy held back", zap.String("target", t.ID), zap.Int64("revision", row.Rev), zap.Bool("known", old.ID != ""))
	return true
}
