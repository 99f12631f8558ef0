package edge

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/feed"
	"damaskreach/internal/gossip"
	"damaskreach/internal/marks"
	"damaskreach/internal/rows"
	"damaskreach/internal/stats"
	"damaskreach/internal/table"
	"damaskreach/internal/tenure"
)

const (
	// readerRetryDelay is the retry delay of the host that reads for others, after the store did not answer.
	readerRetryDelay = 250 * time.Millisecond
	// maxMeanRetryDelay bounds the mean delay after which hosts that do not read for others retry when the store did not answer.
	maxMeanRetryDelay = 3 * time.Second
)

// ownReadMargin applies when an upstream is leaving and other hosts do not read the store. It is how long before the upstream must get
// no new work this host reads for itself: the time of a read, a failed attempt, and the routing decision under way.
const ownReadMargin = 800 * time.Millisecond

const (
	// maxBehind is how long a host normally takes to learn what others have read. One that has been behind for longer may be waiting for a
	// store that does not answer.
	maxBehind = 300 * time.Millisecond
	// readerStep is the delay between hosts that try to read when the usual reader does not.
	readerStep = 100 * time.Millisecond
	// readSlack is how far the age of the newest read may exceed the read interval: the time to list many registrations and to report it.
	readSlack = 500 * time.Millisecond
	// noLimit makes readersAhead count all hosts.
	noLimit = math.MaxInt
)

// isReader reports whether this host reads the store for others. One host does, the first in order that the store answers; the others read
// only newer changes that were not passed on. If each read for itself, calls and bytes would grow with hosts times upstreams, and most
// would return nothing new. When no read is reported in time, the next hosts read, one after the other: the first may be frozen, or cut
// off without knowing it yet.
func (e *Edge) isReader() bool {
	if e.readersAhead(1) == 0 {
		return true
	}
	age, ok := e.readers.Age(time.Now())
	late := age - e.readInterval() - readSlack
	// Usually a read was reported in time, and the number of hosts ahead is not needed.
	return ok && late > readerStep && late > time.Duration(e.readersAhead(noLimit))*readerStep
}

// readersAhead returns how many hosts would read the store for others before this one, up to limit: it is called for each message.
func (e *Edge) readersAhead(limit int) int {
	m := e.mates.Load()
	if m == nil {
		return 0
	}
	away, before := e.intake.StoreDown(), 0
	for _, h := range m.HigherRanked() {
		if away || !m.StoreDown(h.IP) {
			before++
		}
		if before == limit {
			break
		}
	}
	return before
}

// readsDelegated reports whether another host reads for this one.
func (e *Edge) readsDelegated() bool {
	return e.readers.Fresh(e.maxReadAge(), time.Now()) && !e.isReader()
}

// maxReadAge returns how old a read may be for a host to rely on it.
func (e *Edge) maxReadAge() time.Duration {
	return e.Setup().Drain - ownReadMargin
}

// readAge returns the age of the newest read of the upstreams that this host relies on, its own or another host's.
func (e *Edge) readAge() time.Duration {
	age, read := e.intake.Age()
	if otherAge, ok := e.readers.Age(time.Now()); ok && (!read || otherAge < age) {
		return otherAge
	}
	return age
}

// covers reports whether this host knows the store as far as another host's read went.
func (e *Edge) covers(read marks.Marks) bool {
	return e.intake.Covers(read) && e.tenure.HasRead(read.Fleet)
}

// readMarks returns how far this host knows the store and how old the newest read is, its own or a reported one; nil without either. A host
// that the store does not answer reports a read that went further than its own knowledge: other hosts may be able to read what it cannot.
func (e *Edge) readMarks() *marks.Marks {
	if beyond, behind, ok := e.readers.Beyond(time.Now(), e.covers); ok && (e.intake.StoreDown() || behind > maxBehind) {
		return &beyond
	}
	known, ok := e.intake.Marks()
	age, hasAge := e.readers.Age(time.Now())
	if !ok && !hasAge {
		return nil
	}
	if !ok || hasAge && age.Milliseconds() < known.Age {
		known.Age = age.Milliseconds()
	}
	known.Fleet = e.tenure.NewestRev()
	return &known
}

// retryDelay returns how long this host waits after the store did not answer: the reader retries soon, and all other hosts of its data
// centre together as often, so that one of them finds out if the store refuses only the reader.
func (e *Edge) retryDelay() time.Duration {
	if e.isReader() {
		return readerRetryDelay
	}
	sameCentre := 0
	for _, h := range e.mates.Load().Serving() {
		if h.Centre == e.Setup().Centre {
			sameCentre++
		}
	}
	pause := min(maxMeanRetryDelay, time.Duration(max(1, sameCentre))*readerRetryDelay)
	return pause/2 + rand.N(pause+1)
}

// applyMarks applies how far another host knows the store. If this host knows as much, it relies on that read. Otherwise it takes the rows
// sent along, if any. If the sender knows only the marks and cannot read, hosts try to read one after the other.
func (e *Edge) applyMarks(g gossip.Gossip, now time.Time) {
	if g.ReadMarks == nil {
		return
	}
	read := e.withoutPendingConf(*g.ReadMarks)
	if e.covers(read) {
		e.readers.Note(g.IP, time.Duration(read.Age)*time.Millisecond, now)
		e.intake.ObserveMarks(read)
		return
	}
	e.readers.Ahead(read, now)
	if wait := e.ownReadDelay(g); wait > 0 {
		time.AfterFunc(wait, func() { e.wakeReads(read.WithLater(wait)) })
		return
	}
	e.wakeReads(read)
}

// ownReadDelay returns how long this host leaves it to others to read what a message announces but does not contain.
func (e *Edge) ownReadDelay(g gossip.Gossip) time.Duration {
	missing := map[string]int64{e.TargetPrefix: g.ReadMarks.Targets, e.ConfPrefix: e.withoutPendingConf(*g.ReadMarks).Conf, tenure.Prefix: g.ReadMarks.Fleet}
	for _, f := range slices.Concat(e.feeds.Known(), g.Feeds) {
		if f.Rev >= missing[f.Prefix] {
			delete(missing, f.Prefix)
		}
	}
	if len(missing) == 0 {
		return 0
	}
	return min(e.maxGossipAge()+selfReportInterval, time.Duration(e.readersAhead(noLimit))*readerStep)
}

// wakeReads has what another host knows read, unless this one knows as much by now.
func (e *Edge) wakeReads(read marks.Marks) {
	e.intake.ObserveMarks(read)
	e.tenure.NotifyNewer(read.Fleet)
}

// announceRead tells others of a read at once: a host does not rely on any read for long.
func (e *Edge) announceRead() {
	if m := e.mates.Load(); m != nil && e.isReader() {
		m.Nudge()
	}
}

// announceChange tells others of a change at once, and looks for engines without an owner.
func (e *Edge) announceChange() {
	e.observeBuilds()
	e.tenure.ClaimSoon()
	if m := e.mates.Load(); m != nil && e.isReader() {
		m.Nudge()
	}
}

// isAlive reports whether another host answered recently.
func (e *Edge) isAlive(ip string) bool {
	m := e.mates.Load()
	return m != nil && m.IsAlive(ip)
}

// passedRows returns rows that another host has passed on.
func (e *Edge) passedRows(prefix string, after int64) (list []rows.Row, rev int64, ok bool) {
	list, rev, ok = e.feeds.Tail(prefix, after)
	if ok {
		e.Log.Info("changes taken from another host", zap.String("rows", prefix), zap.Int64("after", after),
			zap.Int64("revision", rev), zap.Int("count", len(list)), zap.Int("bytes", valueBytes(list)))
	}
	return list, rev, ok
}

// withPassedRows wraps the store to use changes passed on by another host while one reads for this host.
func (e *Edge) withPassedRows(t table.Table) table.Table {
	tail := t.Tail
	t.Tail = func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error) {
		if e.readsDelegated() {
			if list, rev, ok := e.passedRows(prefix, after); ok {
				return list, rev, nil
			}
		}
		return tail(ctx, prefix, after)
	}
	return t
}

// withReadLog wraps the store to log each read, from which on-call engineers tell what a host could know at a given time.
func (e *Edge) withReadLog(t table.Table) table.Table {
	note := func(prefix string, after, rev int64, list []rows.Row, start time.Time, err error) {
		era, _ := rows.Era(max(after, rev, 0))
		e.Log.Info("store read", zap.String("rows", prefix), zap.Int64("after", after), zap.Int64("revision", rev), zap.Int64("era", era),
			zap.Int("count", len(list)), zap.Bool("reader", e.isReader()), zap.Duration("took", time.Since(start)), zap.Error(err))
	}
	tail, whole := t.Tail, t.List
	t.Tail = func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error) {
		start := time.Now()
		list, rev, err := tail(ctx, prefix, after)
		note(prefix, after, rev, list, start, err)
		return list, rev, err
	}
	t.List = func(ctx context.Context, prefix string) ([]rows.Row, int64, error) {
		start := time.Now()
		list, rev, err := whole(ctx, prefix)
		note(prefix, feed.Whole, rev, list, start, err)
		return list, rev, err
	}
	return t
}

// addFeeds adds to a message how far this host knows the store, and the changes that its receiver has not seen. Only the reader sends rows
// to other data centres: otherwise each relay would send each of theirs the same.
func (e *Edge) addFeeds(to string, g *gossip.Gossip) {
	g.ReadMarks, g.KnownFeeds = e.readMarks(), e.feeds.Known()
	if e.tenure.Host(to).Centre == e.Setup().Centre || e.isReader() {
		g.Feeds, g.LargeFeeds = e.splitNamed(e.feeds.Unseen(to))
	}
	for _, f := range g.Feeds {
		e.Stats.Add(stats.RowsTold, int64(valueBytes(f.Rows)), "rows", f.Prefix)
	}
}

// valueBytes returns the total size of the rows' values.
func valueBytes(list []rows.Row) (bytes int) {
	for _, row := range list {
		bytes += len(row.Value)
	}
	return bytes
}

// readInterval returns how often the upstreams' registrations are read: as often as they change, and often enough for a leaving one to get
// no new work in time even if a read fails.
func (e *Edge) readInterval() time.Duration {
	s := e.Setup()
	return min(s.Beat, s.Drain*6/10)
}

// nextReadDelay returns the delay from the start of a read of that duration to the next one. The reader reads again the sooner the longer a
// read takes: once its last read is too old to be relied on, each other host would read for itself, and hundreds of them would slow the
// store and each other so that this went on.
func (e *Edge) nextReadDelay(took time.Duration) time.Duration {
	every := e.readInterval()
	slack := e.maxReadAge() - e.maxGossipAge() - every
	if slack <= 0 || !e.isReader() {
		return every
	}
	return min(every, every+slack-took)
}
