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
	// leastHolders is how many hosts give orders at least, where there are so many: the loss of one stops the loads of an eighth
	// of the engines until it is succeeded.
	leastHolders = 8
	// perHolder is how many engines one host gives orders to, where there are many: each asks for some loads a second.
	perHolder = 6
	// settleFor is how long a host that starts waits before it claims engines. Where no engine has a host yet it also waits as
	// long after the last that it learned of: how many hosts give orders follows from how many engines there are, and those
	// must have renewed their sessions by then.
	settleFor = time.Second
	// evenFor is how long an engine stays without a host before one takes it that holds twice the mean already.
	evenFor = 3 * time.Second
	// settled is how long a host counts as alive after its row was seen to change.
	settled = 10 * time.Second
	// passiveFor is how long a host that does not renew its row must have been silent for the row to be ended.
	passiveFor = time.Minute
)

// endLapsed ends the sessions of hosts that have not renewed them for so long that they cannot act on them any more.
func (t *Tenure) endLapsed(ctx context.Context) {
	wait := t.wait()
	t.mu.Lock()
	now := t.Clock()
	var lapsed []seen
	for ip, h := range t.hosts {
		if ip == t.IP || h.Ended {
			continue
		}
		if !h.Passive && now-h.since > wait || h.Passive && t.silentFor(ip, now) > passiveFor {
			lapsed = append(lapsed, h)
		}
	}
	t.mu.Unlock()
	for _, h := range lapsed {
		s := h.session
		s.Ended, s.Epoch = true, t.next(h.rev)
		t.write(ctx, "session of a lapsed host ended", s.IP, rows.Row{Key: hostPrefix + s.IP, Value: encode(s), Rev: h.rev})
	}
}

// silentFor returns how long a host that does not renew its row was not heard, as far as this host has looked. Hosts that lose their relays
// hear nobody for a moment, and would end the sessions of all others at once.
func (t *Tenure) silentFor(ip string, now time.Duration) time.Duration {
	if t.Live(ip) {
		delete(t.silent, ip)
		return 0
	}
	since, known := t.silent[ip]
	if !known {
		t.silent[ip] = now
		return 0
	}
	return now - since
}

// write writes rows and, where that succeeded, believes them at once.
func (t *Tenure) write(ctx context.Context, what, about string, edits ...rows.Row) bool {
	ctx, cancel := context.WithTimeout(ctx, callFor)
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
		t.enter(era, now)
		return false
	}
	for _, row := range edits {
		row.Rev = rev
		t.take(row, now)
		t.checked(row.Key, sent)
	}
	return true
}

// claim takes engines that no host holds; it reports false where some are left without one.
func (t *Tenure) claim(ctx context.Context, age time.Duration) bool {
	t.makeSecret(ctx)
	if age < settleFor {
		return false
	}
	edits, left := t.free()
	if len(edits) == 0 {
		return left == 0
	}
	if !t.write(ctx, "engines claimed", strconv.Itoa(len(edits)), edits...) {
		t.reread()
		return false
	}
	t.Stats.Add(stats.Claims, int64(len(edits)))
	return left == len(edits)
}

// reread has the rows read at the next look, also where another host reads for this one: they are not what this host believes.
func (t *Tenure) reread() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.full = -t.restMost()
}

// soon returns when to look next while something is to be claimed, or there is no secret yet.
func (t *Tenure) soon() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if in := t.makeAt - t.Clock(); t.secret == nil && in > 0 {
		return min(in, secretWithin)
	}
	return firstEvery
}

// free returns the rows by which this host claims engines now, and how many engines have no host. The first host that an engine hashes to, of those
// with less than their share, goes first; another one claims it only where it stayed without a host for two readings.
func (t *Tenure) free() (edits []rows.Row, left int) {
	engines := t.Engines()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	t.opensAt = now + readEvery
	if !t.renewed || t.unsure || t.left() < orderSlack || t.outdated() {
		return nil, 0
	}
	if t.growing(now, len(engines)) {
		return nil, len(engines)
	}
	share := t.share(len(engines))
	held := sync.OnceValue(t.holdings) // mostly no engine is without a host
	full := func(ip string) bool { return held()[ip] >= share }
	for id, centre := range engines {
		o := t.own[id]
		if t.lasts(o) {
			delete(t.fresh, id)
			continue
		}
		in, mine := t.opens(id, now)
		if in > 0 {
			delete(t.fresh, id)
			t.opensAt = min(t.opensAt, now+in)
			continue
		}
		if t.Blocked != nil && t.Blocked(id) {
			continue
		}
		left++
		since, waiting := t.fresh[id]
		if !waiting {
			since = now
			t.fresh[id] = now
		}
		if len(edits) >= most || !mine && now-since < 2*firstEvery && !t.isFirst(id, centre, full) {
			continue
		}
		if !mine && len(edits) >= share-held()[t.IP] && now-since < evenFor {
			continue
		}
		next := ownership{IP: t.IP, Epoch: t.epoch, Fence: t.next(o.rev)}
		t.Log.Info("engine to be claimed", zap.String("target", id), zap.Int64("fence", next.Fence), zap.String("before", o.IP), zap.Int64("revision", o.rev))
		edits = append(edits, rows.Row{Key: ownPrefix + id, Value: encode(next), Rev: o.rev})
	}
	return edits, left
}

// young reports whether the whole site seems to start, this host with it, and who should give orders cannot be told yet. Each host
// would take itself for one of the first, and begin a session that it ends a second later: some calls a host, all at once.
func (t *Tenure) young() bool {
	return len(t.own) == 0 && t.Clock()-t.begun < settleFor
}

// holder reports whether this host should give orders: it does already, or it is one of as many hosts as the engines need.
// Each host that may give orders renews its session; with a hundred hosts those renewals would be most calls to the store.
func (t *Tenure) holder() bool {
	if t.epoch > 0 {
		for range t.claimed() {
			return true
		}
	}
	if t.keptLeft() > 0 {
		return true
	}
	now := t.Clock()
	mine, before := rank(t.IP), 0
	for ip, h := range t.hosts {
		if ip == t.IP || h.Ended || !t.able(ip) || now-h.since > settled && t.silentFor(ip, now) > settled {
			continue
		}
		if rank(ip) < mine {
			before++
		}
	}
	return before < max(leastHolders, len(t.Engines())/perHolder)
}

// rank orders hosts, or hosts for an engine, the same way everywhere.
func rank(text string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(text))
	return mix(sum.Sum64())
}

// isFirst reports whether this host is the live one that an engine hashes to, those in the engine's own data centre before others: an order
// and a report that stay there cost no bytes between data centres. A host that has its share leaves the engine to the next one; were it left to
// all others alike, they would claim it at the same moment and all but one in vain. Mostly one of the first hosts that it looks at comes before
// it.
func (t *Tenure) isFirst(id, centre string, full func(ip string) bool) bool {
	self, ok := t.hosts[t.IP]
	if !ok || self.Ended || self.Passive {
		return false
	}
	mine, near := rank(t.IP+"/"+id), self.Centre == centre
	for ip, h := range t.hosts {
		if ip == t.IP || h.Ended || h.Passive || full(ip) || !t.able(ip) {
			continue
		}
		here := h.Centre == centre
		if here && !near || here == near && rank(ip+"/"+id) > mine {
			return false
		}
	}
	return true
}

// mix spreads the low bits of a hash, which FNV leaves alike for alike texts.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
