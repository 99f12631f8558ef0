package tenure

import (
	"maps"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"damaskreach/internal/rows"
)

// tried is the renewals whose outcome is not known. A slow store carries many out whose callers have ceased to wait; were these not counted, each
// would cost a conflict and a reading beside.
type tried struct {
	rev   int64            // of this host's row that they replace
	epoch int64            // of the session that they name
	sent  time.Duration    // when the first of them was sent
	keys  map[string]int64 // what all of them expect of other rows
}

// try notes a renewal that is about to be sent.
func (t *Tenure) try(rev, epoch int64, sent time.Duration, checks []rows.Row) {
	keys := make(map[string]int64, len(checks))
	for _, c := range checks {
		keys[c.Key] = c.Rev
	}
	if t.tried.rev != rev || t.tried.epoch != epoch {
		t.tried = tried{rev: rev, epoch: epoch, sent: sent, keys: keys}
		return
	}
	maps.DeleteFunc(t.tried.keys, func(key string, rev int64) bool { return keys[key] != rev })
}

// settle counts a renewal as served of which the store's row tells that it was carried out. It was sent no sooner than the first that is not known of.
func (t *Tenure) settle(row rows.Row) {
	var s session
	if row.Rev <= t.tried.rev || rows.CompareEras(row.Rev, t.tried.rev) != 0 || msgpack.Unmarshal(row.Value, &s) != nil {
		return
	}
	if t.epoch != t.tried.epoch || s.Start != t.start || s.Epoch != t.epoch || s.Ended || s.Passive || !t.renewed {
		return
	}
	t.sent = max(t.sent, t.tried.sent)
	for key, rev := range t.tried.keys {
		if o, ok := t.own[key[len(ownPrefix):]]; ok && o.rev == rev {
			t.checked(key, max(o.checked, t.tried.sent))
		}
	}
	t.tried = tried{}
}
