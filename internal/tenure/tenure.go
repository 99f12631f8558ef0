// Package tenure decides which host gives orders to which engine.
//
// Engines do not check who orders them, so two hosts that both believe they may would overfill an engine, which crashes,
// or unload what the other has just loaded. Each engine has a row in the store that names its host, and each host a row
// that it renews. A host acts only while its last renewal, counted from before it was sent on a clock that goes on
// through suspensions, is younger than the lease. Others take an engine over once they have seen the host's row unchanged
// for the lease and the time that orders of two hosts must lie apart, and only by ending that row in the store first, so
// that a renewal still under way fails.
//
// A host is known by its IP and not by its start: the process that comes back on the same host goes on at once, since its
// predecessor is dead for certain.
package tenure

import (
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"damaskreach/internal/rows"
	"damaskreach/internal/table"
	"damaskreach/internal/target"
)

const (
	// Lease is how long a host may act after a renewal. It outlasts the short outages of the store, in which all loads
	// would stop otherwise; a dead host's engines wait that much longer for their next load, and keep serving what they hold.
	Lease = 6 * time.Second
	// renewEvery leaves room for two lost renewals within a lease, at less than half a call a second.
	renewEvery = 2500 * time.Millisecond
	// readEvery is how often the rows of all hosts are read: takeovers are rare and slower than this anyway.
	readEvery = 3 * time.Second
	// firstEvery is how often they are read in the first seconds, when all hosts start and engines have no host yet.
	firstEvery = 500 * time.Millisecond
	firstFor   = 5 * time.Second
	// callFor bounds a call to the store.
	callFor = time.Second
	// margin is kept between the last order of one host and the first of the next, beside the time they must lie apart:
	// an order under way, and the reading of clocks that run at slightly different rates.
	margin = 700 * time.Millisecond
	// orderSlack is how much of the lease must be left for an order to be given, for its way to the engine.
	orderSlack = 300 * time.Millisecond
	// most is how many engines are claimed in one transaction.
	most = 40
)

// Tenure keeps this host's part. The exported fields are set before Run.
type Tenure struct {
	Table   table.Table
	IP      string
	Peers   string
	Callers string
	Centre  string
	Turn    func() time.Duration            // that orders of two hosts must lie apart
	Clock   func() time.Duration            // goes on through suspensions
	Engines func() map[string]target.Target // that need a host
	Log     *zap.Logger

	mu      sync.Mutex
	start   string
	epoch   int64         // of this host's session
	sent    time.Duration // when the last renewal that succeeded was sent
	renewed bool
	at      int64 // revision up to which rows are read
	hosts   map[string]seen
	own     map[string]owned
	secret  []byte
	fresh   map[string]time.Duration // engines without a host, since when
}

type seen struct {
	session
	rev   int64
	since time.Duration // when this revision was first seen
}

type owned struct {
	ownership
	rev int64
}

// Run renews and reads until ctx ends.
func (t *Tenure) Run(ctx context.Context) {
	t.mu.Lock()
	t.start = strconv.FormatUint(rand.Uint64(), 36)
	t.hosts = map[string]seen{}
	t.own = map[string]owned{}
	t.fresh = map[string]time.Duration{}
	t.mu.Unlock()
	begun := t.Clock()
	var renewAt, readAt time.Duration
	for ctx.Err() == nil {
		now := t.Clock()
		if now >= readAt {
			readAt = now + t.read(ctx, now-begun)
		}
		if now = t.Clock(); now >= renewAt && t.seeded() {
			renewAt = now + t.renew(ctx)
		}
		pause(ctx, min(readAt, max(renewAt, now+time.Millisecond))-t.Clock())
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(max(d, 10*time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// seeded reports whether the rows were read once: before that this host does not know the revision of its own row.
func (t *Tenure) seeded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.at > 0
}

// read brings the rows up to date, claims what is free, and returns when to read next.
func (t *Tenure) read(ctx context.Context, age time.Duration) time.Duration {
	callCtx, cancel := context.WithTimeout(ctx, callFor)
	defer cancel()
	t.mu.Lock()
	after := t.at
	t.mu.Unlock()
	var list []rows.Row
	var rev int64
	var err error
	if after == 0 {
		list, rev, err = t.Table.List(callCtx, Prefix)
	} else {
		list, rev, err = t.Table.Tail(callCtx, Prefix, after)
		if errors.Is(err, table.ErrCompacted) {
			list, rev, err = t.Table.List(callCtx, Prefix)
		}
	}
	if err != nil {
		t.Log.Debug("hosts not read", zap.Error(err))
		return firstEvery
	}
	t.apply(list, rev)
	t.endLapsed(ctx)
	if !t.claim(ctx) || age < firstFor {
		return firstEvery
	}
	return readEvery
}

func (t *Tenure) apply(list []rows.Row, rev int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	for _, row := range list {
		t.take(row, now)
	}
	t.at = max(t.at, rev)
}

func (t *Tenure) take(row rows.Row, now time.Duration) {
	switch {
	case row.Key == keyRow && !row.Gone:
		t.secret = row.Value
	case strings.HasPrefix(row.Key, hostPrefix):
		t.takeHost(strings.TrimPrefix(row.Key, hostPrefix), row, now)
	case strings.HasPrefix(row.Key, ownPrefix):
		t.takeOwn(strings.TrimPrefix(row.Key, ownPrefix), row)
	}
}

func (t *Tenure) takeHost(ip string, row rows.Row, now time.Duration) {
	if row.Gone {
		delete(t.hosts, ip)
		return
	}
	if t.hosts[ip].rev >= row.Rev {
		return
	}
	var s session
	if err := msgpack.Unmarshal(row.Value, &s); err != nil {
		t.Log.Warn("row of a host cannot be read", zap.String("host", ip), zap.Error(err))
		return
	}
	t.hosts[ip] = seen{session: s, rev: row.Rev, since: now}
}

func (t *Tenure) takeOwn(id string, row rows.Row) {
	if row.Gone {
		delete(t.own, id)
		return
	}
	if t.own[id].rev >= row.Rev {
		return
	}
	var o ownership
	if err := msgpack.Unmarshal(row.Value, &o); err != nil {
		t.Log.Warn("row of an engine cannot be read", zap.String("target", id), zap.Error(err))
		return
	}
	t.own[id] = owned{ownership: o, rev: row.Rev}
}

// renew writes this host's row and returns when to do so next.
func (t *Tenure) renew(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callFor)
	defer cancel()
	t.mu.Lock()
	known := t.hosts[t.IP]
	t.mu.Unlock()
	sent := t.Clock()
	s := session{IP: t.IP, Peers: t.Peers, Callers: t.Callers, Centre: t.Centre, Start: t.start, Epoch: known.Epoch}
	if known.Ended || known.rev == 0 {
		s.Epoch++
	}
	rev, err := t.Table.Write(ctx, rows.Row{Key: hostPrefix + t.IP, Value: encode(s), Rev: known.rev})
	if err != nil {
		t.renewFailed(ctx, err)
		return firstEvery
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if known.Ended || !t.renewed {
		// Engines may have been taken over meanwhile. What is believed of them is as of a reading before this renewal.
		t.at = 0
		t.own = map[string]owned{}
		t.Log.Info("session begun", zap.String("host", t.IP), zap.String("start", t.start), zap.Int64("revision", rev))
	}
	t.renewed = true
	t.epoch = s.Epoch
	t.sent = sent
	t.hosts[t.IP] = seen{session: s, rev: rev, since: sent}
	if t.at == 0 {
		return firstEvery
	}
	return renewEvery
}

// renewFailed finds out how the row stands where the failure leaves that open. An answer that was lost may belong to a
// renewal that took effect; its revision is not known then, and the next renewal would fail against it.
func (t *Tenure) renewFailed(ctx context.Context, cause error) {
	t.Log.Info("session not renewed", zap.String("host", t.IP), zap.Duration("left", t.Left()), zap.Error(cause))
	if errors.Is(cause, table.ErrDown) {
		return
	}
	row, err := t.Table.Read(ctx, hostPrefix+t.IP)
	if errors.Is(err, table.ErrAbsent) {
		row, err = rows.Row{Key: hostPrefix + t.IP, Gone: true}, nil
	}
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.takeHost(t.IP, row, t.Clock())
	if t.hosts[t.IP].Start != t.start {
		t.renewed = false
	}
}

// Left returns how much of the lease is left; it is negative once it has ended.
func (t *Tenure) Left() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.left()
}

func (t *Tenure) left() time.Duration {
	if !t.renewed {
		return -Lease
	}
	return t.sent + Lease - t.Clock()
}

// Fence returns the fencing token by which this host may give an engine an order now; false means that it may not.
func (t *Tenure) Fence(id string) (int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.own[id]
	if !ok || o.IP != t.IP || o.Epoch != t.epoch || t.left() < orderSlack {
		return 0, false
	}
	return o.Fence, true
}

// Owner returns the IP of the host that gives an engine its orders, or an empty text where none is known.
func (t *Tenure) Owner(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.own[id].IP
}

// Mine returns the engines whose orders this host gives.
func (t *Tenure) Mine() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.left() < orderSlack {
		return nil
	}
	var ids []string
	for id, o := range t.own {
		if o.IP == t.IP && o.Epoch == t.epoch {
			ids = append(ids, id)
		}
	}
	return ids
}

// Secret returns the key by which hosts know each other; nil before the rows were read.
func (t *Tenure) Secret() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.secret
}

// Hosts returns the addresses for other hosts and for callers, and the data centre, of all hosts whose sessions have not
// lapsed, by IP.
func (t *Tenure) Hosts() map[string][3]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	hosts := map[string][3]string{}
	for ip, h := range t.hosts {
		if !h.Ended {
			hosts[ip] = [3]string{h.Peers, h.Callers, h.Centre}
		}
	}
	return hosts
}

// endLapsed ends the sessions of hosts that have not renewed them for so long that they cannot act on them any more.
func (t *Tenure) endLapsed(ctx context.Context) {
	wait := Lease + t.Turn() + margin
	t.mu.Lock()
	now := t.Clock()
	var lapsed []seen
	for ip, h := range t.hosts {
		if ip != t.IP && !h.Ended && now-h.since > wait {
			lapsed = append(lapsed, h)
		}
	}
	t.mu.Unlock()
	for _, h := range lapsed {
		s := h.session
		s.Ended = true
		t.write(ctx, "session of a lapsed host ended", s.IP, rows.Row{Key: hostPrefix + s.IP, Value: encode(s), Rev: h.rev})
	}
}

// write writes rows and, where that succeeded, believes them at once.
func (t *Tenure) write(ctx context.Context, what, about string, edits ...rows.Row) bool {
	ctx, cancel := context.WithTimeout(ctx, callFor)
	defer cancel()
	rev, err := t.Table.Write(ctx, edits...)
	if err != nil {
		t.Log.Info(what+" failed", zap.String("about", about), zap.Error(err))
		return false
	}
	t.Log.Info(what, zap.String("about", about), zap.Int64("revision", rev))
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	for _, row := range edits {
		row.Rev = rev
		t.take(row, now)
	}
	return true
}

// claim takes engines that no host holds; it reports false where some are left without one.
func (t *Tenure) claim(ctx context.Context) bool {
	t.makeSecret(ctx)
	edits, left := t.free()
	if len(edits) == 0 {
		return left == 0
	}
	return t.write(ctx, "engines claimed", strconv.Itoa(len(edits)), edits...) && left == len(edits)
}

func (t *Tenure) makeSecret(ctx context.Context) {
	if t.Secret() != nil {
		return
	}
	fresh := make([]byte, 32)
	for i := range fresh {
		fresh[i] = byte(rand.Uint32())
	}
	t.write(ctx, "secret of the hosts made", "", rows.Row{Key: keyRow, Value: fresh})
}

// free returns the rows by which this host claims engines now, and how many engines have no host. The host that an engine hashes to goes first; another one
// claims it only where it stayed without a host for two readings.
func (t *Tenure) free() (edits []rows.Row, left int) {
	engines := t.Engines()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.renewed || t.left() < orderSlack || t.at == 0 {
		return nil, 0
	}
	now := t.Clock()
	for id, engine := range engines {
		o, ok := t.own[id]
		holder, live := t.hosts[o.IP]
		if ok && live && !holder.Ended && holder.Epoch == o.Epoch {
			delete(t.fresh, id)
			continue
		}
		since, waiting := t.fresh[id]
		if !waiting {
			since = now
			t.fresh[id] = now
		}
		left++
		if len(edits) >= most || t.first(id, engine.Centre) != t.IP && now-since < 2*firstEvery {
			continue
		}
		next := ownership{IP: t.IP, Epoch: t.epoch, Fence: o.Fence + 1}
		edits = append(edits, rows.Row{Key: ownPrefix + id, Value: encode(next), Rev: o.rev})
	}
	return edits, left
}

// first returns the live host that an engine hashes to, those in its own data centre before others: an order and a
// report that stay there cost no bytes between data centres.
func (t *Tenure) first(id, centre string) string {
	best, bestRank, near := "", uint64(0), false
	for ip, h := range t.hosts {
		if h.Ended {
			continue
		}
		sum := fnv.New64a()
		sum.Write([]byte(ip + "/" + id))
		rank, here := mix(sum.Sum64()), h.Centre == centre
		if best == "" || here && !near || here == near && rank > bestRank {
			best, bestRank, near = ip, rank, here
		}
	}
	return best
}

// mix spreads the low bits of a hash, which FNV leaves alike for alike texts.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// ErrNotOwner means that this host gives an engine no orders.
var ErrNotOwner = merry.Sentinel("tenure: this host does not order the engine")
