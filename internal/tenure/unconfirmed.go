package tenure

import (
	"maps"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"damaskreach/internal/rows"
)

// unconfirmedRenewals is the renewals of unknown outcome. A slow store carries out many of them after their callers have timed out;
// ignored, each would cost a conflict and a read as well.
type unconfirmedRenewals struct {
	rev       int64            // of this host's row that they replace
	epoch     int64            // of the session that they name
	firstSent time.Duration    // when the first of them was sent
	expected  map[string]int64 // revisions of other rows that all of them expect
}

// noteRenewal notes a renewal that is about to be sent.
func (t *Tenure) noteRenewal(rev, epoch int64, sent time.Duration, checks []rows.Row) {
	keys := make(map[string]int64, len(checks))
	for _, c := range checks {
		keys[c.Key] = c.Rev
	}
	if t.unconfirmed.rev != rev || t.unconfirmed.epoch != epoch {
		t.unconfirmed = unconfirmedRenewals{rev: rev, epoch: epoch, firstSent: sent, expected: keys}
		return
	}
	maps.DeleteFunc(t.unconfirmed.expected, func(key string, rev int64) bool { return keys[key] != rev })
}

// forgetRenewal forgets a renewal that the store did not take. Counted as the first of those that may have been applied, it would shorten the
// lease of a later one; where an earlier one may still be applied, that is the first.
func (t *Tenure) forgetRenewal(sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unconfirmed.firstSent == sent {
		t.unconfirmed = unconfirmedRenewals{}
	}
}

// confirmRenewal counts an unconfirmed renewal if the store's row shows it to be applied, as of when the first of them was sent, and reports whether.
func (t *Tenure) confirmRenewal(row rows.Row) bool {
	var s session
	if row.Rev <= t.unconfirmed.rev || rows.CompareEras(row.Rev, t.unconfirmed.rev) != 0 || msgpack.Unmarshal(row.Value, &s) != nil {
		return false
	}
	if t.epoch != t.unconfirmed.epoch || s.StartID != t.startID || s.Epoch != t.epoch || s.Ended || s.Passive || !t.hasSession {
		return false
	}
	t.lastRenewal = max(t.lastRenewal, t.unconfirmed.firstSent)
	for key, rev := range t.unconfirmed.expected {
		if o, ok := t.owners[key[len(ownPrefix):]]; ok && o.rev == rev {
			t.markChecked(key, max(o.checkedAt, t.unconfirmed.firstSent))
		}
	}
	t.unconfirmed = unconfirmedRenewals{}
	return true
}
