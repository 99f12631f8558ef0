package tenure

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"damaskreach/internal/rows"
)

// checks returns what a renewal expects of the rows by which this host holds engines: a write of an earlier era may have replaced one. The others wait out
// the lease from when they see that, so it must not be renewed by a host that has not. The rows that were not checked for the longest time come first.
func (t *Tenure) checks(begins bool) (edits []rows.Row) {
	if begins {
		return nil
	}
	var ids []string
	for id := range t.claimed() {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(t.own[a].checked, t.own[b].checked) })
	for _, id := range ids {
		edits = append(edits, rows.Row{Key: ownPrefix + id, Rev: t.own[id].rev, Same: true})
	}
	return edits
}

// checked notes that the store found the row of a key as this host knows it, asked at a time.
func (t *Tenure) checked(key string, at time.Duration) {
	id := strings.TrimPrefix(key, ownPrefix)
	o, ok := t.own[id]
	if !ok {
		return
	}
	o.checked = at
	t.own[id] = o
}

// claimLeft returns how much is left of the lease under which this host holds an engine: no renewal has room to check more than some of many claims, and
// one that leaves a claim out does not renew its lease.
func (t *Tenure) claimLeft(o owned) time.Duration {
	return min(t.left(), o.checked+Lease-t.Clock())
}

// renewIn returns when the next renewal is due after one that had room to check some of the claims: all are to be checked as often as one is.
func renewIn(every time.Duration, room, claims int) time.Duration {
	if claims <= room {
		return every
	}
	return max(firstEvery, every*time.Duration(room)/time.Duration(claims))
}
