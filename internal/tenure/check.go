package tenure

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"damaskreach/internal/rows"
)

// renewalChecks returns the revisions that a renewal expects of this host's claims, the least recently checked first: a late write from
// an earlier era may have replaced a claim. Other hosts wait for the lease to expire from when they see that write, so a host that has
// not seen it must not renew.
func (t *Tenure) renewalChecks(begins bool) (edits []rows.Row) {
	if begins {
		return nil
	}
	var ids []string
	for id := range t.ownClaims() {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(t.owners[a].checkedAt, t.owners[b].checkedAt) })
	for _, id := range ids {
		edits = append(edits, rows.Row{Key: ownPrefix + id, Rev: t.owners[id].rev, CheckOnly: true})
	}
	return edits
}

// markChecked notes that the store, asked at a time, had the row of a key at the known revision.
func (t *Tenure) markChecked(key string, at time.Duration) {
	id := strings.TrimPrefix(key, ownPrefix)
	o, ok := t.owners[id]
	if !ok {
		return
	}
	o.checkedAt = at
	t.owners[id] = o
}

// claimLeft returns how much is left of the lease on one claim: a renewal has room to check only some of many claims, and does not renew
// the lease of those that it leaves out.
func (t *Tenure) claimLeft(o ownerRow) time.Duration {
	return min(t.sessionLeft(), o.checkedAt+Lease-t.Clock())
}

// renewDelay returns when the next renewal is due if one has room for only some of the claims, so that each is checked once per interval.
func renewDelay(every time.Duration, room, claims int) time.Duration {
	if claims <= room {
		return every
	}
	return max(shortInterval, every*time.Duration(room)/time.Duration(claims))
}
