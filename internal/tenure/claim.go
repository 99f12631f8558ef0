package tenure

import (
	"context"
	"hash/fnv"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/rows"
	"damaskreach/internal/stats"
)

const (
	// minOwners is how many hosts own engines at least, where there are so many: the loss of one stops the loads of an eighth of
	// the engines until others take over.
	minOwners = 8
	// enginesPerOwner is how many engines one host owns, where there are many: each needs some loads a second.
	enginesPerOwner = 6
	// settleDelay is how long a starting host waits before it claims engines. Where no engine has an owner yet it also waits that
	// long after the last one that it learned of: the number of engines determines how many hosts own some, and those must have
	// renewed their sessions by then.
	settleDelay = time.Second
	// overShareDelay is how long an engine stays unowned before a host takes it that holds twice the mean already.
	overShareDelay = 3 * time.Second
	// aliveTimeout is how long a host counts as alive after its row was seen to change.
	aliveTimeout = 10 * time.Second
	// passiveTimeout is how long a host that does not renew its session must be silent before others end it.
	passiveTimeout = time.Minute
)

// endLapsedSessions ends the sessions of hosts that have not renewed them for so long that they cannot act on them any more.
func (t *Tenure) endLapsedSessions(ctx context.Context) {
	wait := t.takeoverWait()
	t.mu.Lock()
	now := t.Clock()
	var lapsed []hostRow
	for ip, h := range t.hosts {
		if ip == t.IP || h.Ended {
			continue
		}
		if !h.Passive && now-h.seenAt > wait || h.Passive && t.silentFor(ip, now) > passiveTimeout {
			lapsed = append(lapsed, h)
		}
	}
	t.mu.Unlock()
	for _, h := range lapsed {
		s := h.session
		s.Ended, s.Epoch = true, t.nextToken(h.rev)
		t.writeRows(ctx, "end of a lapsed session", s.IP, rows.Row{Key: hostPrefix + s.IP, Value: encode(s), Rev: h.rev})
	}
}

// silentFor returns for how long this host has seen a passive host not answer. It is counted from the first failed check: a host that
// loses its relays reaches nobody for a moment, and would end all other sessions at once.
func (t *Tenure) silentFor(ip string, now time.Duration) time.Duration {
	if t.Live(ip) {
		delete(t.silentSince, ip)
		return 0
	}
	since, known := t.silentSince[ip]
	if !known {
		t.silentSince[ip] = now
		return 0
	}
	return now - since
}

// writeRows writes rows and, on success, applies them at once.
func (t *Tenure) writeRows(ctx context.Context, what, about string, edits ...rows.Row) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := t.Clock()
	rev, err := t.Table.Write(ctx, edits...)
	if err != nil {
		t.Log.Info(what+" failed", zap.String("about", about), zap.Error(err))
		return false
	}
	t.Log.Info(what, zap.String("about", about), zap.Int64("revision", rev))
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	if era, _ := rows.Era(rev); era != t.era {
		t.enterEra(era, now)
		return false
	}
	for _, row := range edits {
		row.Rev = rev
		t.applyRow(row, now)
		t.markChecked(row.Key, sent)
	}
	return true
}

// claimUnowned claims unowned engines; it returns false where some remain unowned.
func (t *Tenure) claimUnowned(ctx context.Context, age time.Duration) bool {
	t.ensureSecret(ctx)
	if age < settleDelay {
		return false
	}
	edits, left := t.claimEdits()
	if len(edits) == 0 {
		return left == 0
	}
	if !t.writeRows(ctx, "claim of engines", strconv.Itoa(len(edits)), edits...) {
		t.forceRead()
		return false
	}
	t.Stats.Add(stats.Claims, int64(len(edits)))
	return left == len(edits)
}

// forceRead makes the next step read the rows, even where another host reads for this one: its rows proved out of date.
func (t *Tenure) forceRead() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastRead = -t.delegatedInterval()
}

// claimDelay returns the time to the next step while something is to be claimed, or there is no secret yet.
func (t *Tenure) claimDelay() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if in := t.createSecretAt - t.Clock(); t.secret == nil && in > 0 {
		return min(in, secretSpread)
	}
	return shortInterval
}

// claimEdits returns the rows by which this host claims engines now, and how many engines have no owner. The host to which an engine
// hashes, of those below their share, goes first; another one claims it only if it stays unowned for two reads.
func (t *Tenure) claimEdits() (edits []rows.Row, left int) {
	engines := t.Engines()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	t.nextClaimAt = now + readInterval
	if !t.hasSession || t.ownersStale || t.sessionLeft() < minOrderLease || t.eraOutdated() {
		return nil, 0
	}
	if t.discovering(now, len(engines)) {
		return nil, len(engines)
	}
	share := t.maxShare(len(engines))
	held := sync.OnceValue(t.claimCounts) // usually no engine is unowned
	full := func(ip string) bool { return held()[ip] >= share }
	for id, centre := range engines {
		o := t.owners[id]
		if t.isOwned(o) {
			delete(t.unownedSince, id)
			continue
		}
		in, carried := t.claimableIn(id, now)
		if in > 0 {
			delete(t.unownedSince, id)
			t.nextClaimAt = min(t.nextClaimAt, now+in)
			continue
		}
		if t.Blocked != nil && t.Blocked(id) {
			continue
		}
		left++
		since, waiting := t.unownedSince[id]
		if !waiting {
			since = now
			t.unownedSince[id] = now
		}
		if len(edits) >= maxClaims || !carried && now-since < 2*shortInterval && !t.isPreferred(id, centre, full) {
			continue
		}
		if !carried && len(edits) >= share-held()[t.IP] && now-since < overShareDelay {
			continue
		}
		next := ownership{IP: t.IP, Epoch: t.epoch, Fence: t.nextToken(o.rev)}
		t.Log.Info("engine to be claimed", zap.String("target", id), zap.Int64("fence", next.Fence),
			zap.String("before", o.IP), zap.Int64("revision", o.rev))
		edits = append(edits, rows.Row{Key: ownPrefix + id, Value: encode(next), Rev: o.rev})
	}
	return edits, left
}

// siteStarting reports whether the whole site seems to start, so that this host cannot tell yet whether it should own engines. Each host
// would assume so and begin a session that it ends a second later, at the cost of several simultaneous store calls per host.
func (t *Tenure) siteStarting() bool {
	return len(t.owners) == 0 && t.Clock()-t.startedAt < settleDelay
}

// shouldOwn reports whether this host should own engines: it does already, or it is among as many hosts as the engines need. Each
// owner renews its session; with a hundred owners those renewals would be most calls to the store.
func (t *Tenure) shouldOwn() bool {
	if t.epoch > 0 {
		for range t.ownClaims() {
			return true
		}
	}
	if t.carriedLeft() > 0 {
		return true
	}
	now := t.Clock()
	ownRank, before := rank(t.IP), 0
	for ip, h := range t.hosts {
		if ip == t.IP || h.Ended || !t.peerReaches(ip) || now-h.seenAt > aliveTimeout && t.silentFor(ip, now) > aliveTimeout {
			continue
		}
		if rank(ip) < ownRank {
			before++
		}
	}
	return before < max(minOwners, len(t.Engines())/enginesPerOwner)
}

// rank orders hosts, or hosts for an engine, in the same way everywhere.
func rank(text string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(text))
	return mix(sum.Sum64())
}

// isPreferred reports whether this host is the one to which an engine hashes, those in the engine's data centre before others: orders and
// reports that stay there cost no bytes between data centres. A host that has its share leaves the engine to the next one only; were it
// open to all others, they would claim it at once and all but one fail. One of the first hosts compared usually settles the answer.
func (t *Tenure) isPreferred(id, centre string, full func(ip string) bool) bool {
	self, ok := t.hosts[t.IP]
	if !ok || self.Ended || self.Passive {
		return false
	}
	ownRank, near := rank(t.IP+"/"+id), self.Centre == centre
	for ip, h := range t.hosts {
		if ip == t.IP || h.Ended || h.Passive || full(ip) || !t.peerReaches(ip) {
			continue
		}
		here := h.Centre == centre
		if here && !near || here == near && rank(ip+"/"+id) > ownRank {
			return false
		}
	}
	return true
}

// mix spreads the low bits of a hash, which FNV leaves similar for similar texts.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
