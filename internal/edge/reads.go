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
	// retryLeast is the pause of a host that reads for others after the store did not answer it.
	retryLeast = 250 * time.Millisecond
	// retryMost is the longest mean pause of another host.
	retryMost = 3 * time.Second
)

// ownReading is how much sooner than a leaving upstream must get no new work a host reads for itself where others do not: a
// reading, a try that fails, and the choice that is under way.
const ownReading = 800 * time.Millisecond

const (
	// inDoubt is how long a host takes at the usual speed of the store to know what others have read. One that has been behind for longer
	// may be waiting for a store that does not answer.
	inDoubt = 300 * time.Millisecond
	// turnStep is the time between hosts that try to read where the usual reader does not.
	turnStep = 100 * time.Millisecond
	// lateReading is by how much more than the pause between two readings the newest one may be old: a list of many registrations, and the
	// messages that tell of it.
	lateReading = 500 * time.Millisecond
	// anyNumber lets all hosts count that come before this one.
	anyNumber = math.MaxInt
)

// reader reports whether this host reads the store for others: one of all does, the first that the store answers, and the others read only
// what it has found to be newer and not passed on. Where each reads for itself, calls and bytes grow with the number of hosts times that
// of upstreams, and most bring nothing new. Where no reading is heard of in time, the next ones read, one after the other: the
// first may be frozen, or cut off without knowing it yet.
func (e *Edge) reader() bool {
	if e.before(1) == 0 {
		return true
	}
	age, ok := e.readers.Age(time.Now())
	late := age - e.readEvery() - lateReading
	// Mostly a reading was heard of in time, and how many come before this host need not be known.
	return ok && late > turnStep && late > time.Duration(e.before(anyNumber))*turnStep
}

// before returns how many hosts would read the store for the others sooner than this one, most at the most: hosts ask with each message.
func (e *Edge) before(most int) int {
	m := e.mates.Load()
	if m == nil {
		return 0
	}
	away, before := e.intake.Away(), 0
	for _, h := range m.Ahead() {
		if away || !m.Away(h.IP) {
			before++
		}
		if before == most {
			break
		}
	}
	return before
}

// relaxed reports whether another host reads for this one.
func (e *Edge) relaxed() bool {
	return e.readers.Fresh(e.reliance(), time.Now()) && !e.reader()
}

// reliance is how old a reading may be for a host to rely on it.
func (e *Edge) reliance() time.Duration {
	return e.Setup().Drain - ownReading
}

// relied returns how old the newest reading of the upstreams is that this host relies on, its own or another one's.
func (e *Edge) relied() time.Duration {
	age, read := e.intake.Age()
	if heard, ok := e.readers.Age(time.Now()); ok && (!read || heard < age) {
		return heard
	}
	return age
}

// covers reports whether this host knows the store as far as another one's reading went.
func (e *Edge) covers(read marks.Marks) bool {
	return e.intake.Covers(read) && e.tenure.Covers(read.Fleet)
}

// marks returns how far this host knows the store and how old the newest reading is, its own or one that it heard of; nothing where there is
// none. One that the store does not answer tells of a reading that went further than it knows itself: its hosts may be able to read what it
// cannot.
func (e *Edge) marks() *marks.Marks {
	if beyond, behind, ok := e.readers.Beyond(time.Now(), e.covers); ok && (e.intake.Away() || behind > inDoubt) {
		return &beyond
	}
	known, ok := e.intake.Marks()
	age, heard := e.readers.Age(time.Now())
	if !ok && !heard {
		return nil
	}
	if !ok || heard && age.Milliseconds() < known.Age {
		known.Age = age.Milliseconds()
	}
	known.Fleet = e.tenure.Mark()
	return &known
}

// retryPause returns how long this host waits after the store did not answer it: the one that reads for its data centre tries soon,
// and all others together as often, so that one of them finds out where the store turned away that one alone.
func (e *Edge) retryPause() time.Duration {
	if e.reader() {
		return retryLeast
	}
	near := 0
	for _, h := range e.mates.Load().Serving() {
		if h.Centre == e.Setup().Centre {
			near++
		}
	}
	pause := min(retryMost, time.Duration(near)*retryLeast)
	return pause/2 + rand.N(pause+1)
}

// hearMarks takes how far another host knows the store. Where this one knows as much, it relies on that reading. Else it takes the rows
// that come along if the other has them. Where the other was only told of them itself and cannot read, hosts try one after the other.
func (e *Edge) hearMarks(g gossip.Gossip, now time.Time) {
	if g.Read == nil {
		return
	}
	read := e.withoutBrought(*g.Read)
	if e.covers(read) {
		e.readers.Note(g.IP, time.Duration(read.Age)*time.Millisecond, now)
		e.intake.Wake(read)
		return
	}
	e.readers.Ahead(read, now)
	if wait := e.untilOwn(g); wait > 0 {
		time.AfterFunc(wait, func() { e.wake(read.WithLater(wait)) })
		return
	}
	e.wake(read)
}

// untilOwn returns how long this host lets others read what a message tells of and does not bring.
func (e *Edge) untilOwn(g gossip.Gossip) time.Duration {
	missing := map[string]int64{e.Targets: g.Read.Targets, e.Conf: e.withoutBrought(*g.Read).Conf, tenure.Prefix: g.Read.Fleet}
	for _, f := range slices.Concat(e.feeds.Known(), g.Feeds) {
		if f.Rev >= missing[f.Prefix] {
			delete(missing, f.Prefix)
		}
	}
	if len(missing) == 0 {
		return 0
	}
	return min(e.old()+selfEvery, time.Duration(e.before(anyNumber))*turnStep)
}

// wake has what another host knows of read, unless this one knows as much by now.
func (e *Edge) wake(read marks.Marks) {
	e.intake.Wake(read)
	e.tenure.Wake(read.Fleet)
}

// told tells others of a reading at once: a host relies on none for long.
func (e *Edge) told() {
	if m := e.mates.Load(); m != nil && e.reader() {
		m.Nudge()
	}
}

// nudge tells others of a change at once, and looks for engines that have no host yet.
func (e *Edge) nudge() {
	e.tenure.Look()
	if m := e.mates.Load(); m != nil && e.reader() {
		m.Nudge()
	}
}

// live reports whether another host answered a moment ago.
func (e *Edge) live(ip string) bool {
	m := e.mates.Load()
	return m != nil && m.Live(ip)
}

// passed returns rows that another host has passed on.
func (e *Edge) passed(prefix string, after int64) (list []rows.Row, rev int64, ok bool) {
	list, rev, ok = e.feeds.Tail(prefix, after)
	if ok {
		e.Log.Info("changes taken from another host", zap.String("rows", prefix), zap.Int64("after", after),
			zap.Int64("revision", rev), zap.Int("count", len(list)), zap.Int("bytes", size(list)))
	}
	return list, rev, ok
}

// shared returns the store with changes that another host has passed on taken from there, while one reads for this host.
func (e *Edge) shared(t table.Table) table.Table {
	tail := t.Tail
	t.Tail = func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error) {
		if e.relaxed() {
			if list, rev, ok := e.passed(prefix, after); ok {
				return list, rev, nil
			}
		}
		return tail(ctx, prefix, after)
	}
	return t
}

// noted returns the store with a line for each reading, by which on-call engineers tell what a host could know at a moment.
func (e *Edge) noted(t table.Table) table.Table {
	note := func(prefix string, after, rev int64, list []rows.Row, begun time.Time, err error) {
		era, _ := rows.Era(max(after, rev, 0))
		e.Log.Info("store read", zap.String("rows", prefix), zap.Int64("after", after), zap.Int64("revision", rev), zap.Int64("era", era),
			zap.Int("count", len(list)), zap.Bool("reader", e.reader()), zap.Duration("took", time.Since(begun)), zap.Error(err))
	}
	tail, whole := t.Tail, t.List
	t.Tail = func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error) {
		begun := time.Now()
		list, rev, err := tail(ctx, prefix, after)
		note(prefix, after, rev, list, begun, err)
		return list, rev, err
	}
	t.List = func(ctx context.Context, prefix string) ([]rows.Row, int64, error) {
		begun := time.Now()
		list, rev, err := whole(ctx, prefix)
		note(prefix, feed.Whole, rev, list, begun, err)
		return list, rev, err
	}
	return t
}

// addFeeds adds to a message how far this host knows the store, and what its receiver has not seen of it. Rows go to other data centres from
// the host that reads alone: each relay would tell each of theirs the same.
func (e *Edge) addFeeds(to string, g *gossip.Gossip) {
	g.Read, g.Known = e.marks(), e.feeds.Known()
	if e.tenure.Host(to).Centre == e.Setup().Centre || e.reader() {
		g.Feeds, g.Named = e.named(e.feeds.For(to))
	}
	for _, f := range g.Feeds {
		e.Stats.Add(stats.RowsTold, int64(size(f.Rows)), "rows", f.Prefix)
	}
}

// size returns how many bytes the values of rows have.
func size(list []rows.Row) (bytes int) {
	for _, row := range list {
		bytes += len(row.Value)
	}
	return bytes
}

// readEvery returns how often the upstreams' registrations are read: as often as they change, and often enough for one that
// leaves to get no new work in time though a reading fails.
func (e *Edge) readEvery() time.Duration {
	s := e.Setup()
	return min(s.Beat, s.Drain*6/10)
}

// readAgain returns how long after the beginning of a reading that took so long this host begins the next one. The one that reads for all
// others reads again the sooner the longer a reading takes: each of the others would read for itself from the moment at which the last
// one that it heard of is too old to be relied on, and hundreds of them would slow the store and each other so that this went on.
func (e *Edge) readAgain(took time.Duration) time.Duration {
	every := e.readEvery()
	spare := e.reliance() - e.old() - every
	if spare <= 0 || !e.reader() {
		return every
	}
	return min(every, every+spare-took)
}
