package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/chunk"
	"damaskreach/internal/feed"
	"damaskreach/internal/fetch"
	"damaskreach/internal/gossip"
	"damaskreach/internal/marks"
	"damaskreach/internal/mate"
	"damaskreach/internal/mates"
	"damaskreach/internal/peer"
	"damaskreach/internal/piece"
)

const (
	// mostInline is how many bytes of the configuration go along with a message between hosts: 7 ms of a link of 10 Mbit/s.
	mostInline = 8 << 10
	// bringFor bounds getting a configuration from other hosts.
	bringFor = 10 * time.Second
	// takenFor is how long a configuration that has come may take to be in force.
	takenFor = time.Second
	// mostGivers is how many hosts are asked for one.
	mostGivers = 4
	// ownFor is how long a host that could not get one reads the store for itself before it asks others again.
	ownFor = 2 * time.Second
)

// brings is the configuration that this host is getting from others.
type brings struct {
	mu     sync.Mutex
	newest feed.Feed // that was named
	from   string    // host that named it
	got    int64     // revision up to which it has come
	gotAt  time.Time // when it did
	busy   bool
	rests  time.Time // it reads the store itself until then
}

// named parts what goes along with a message from what is named there alone.
func (e *Edge) named(list []feed.Feed) (along, named []feed.Feed) {
	for _, f := range list {
		if f.Prefix == e.Conf && size(f.Rows) > mostInline {
			f.Rows = nil
			named = append(named, f)
		} else {
			along = append(along, f)
		}
	}
	return along, named
}

// hearNamed gets what another host has named, unless it is on its way already.
func (e *Edge) hearNamed(ctx context.Context, g gossip.Gossip) {
	for _, f := range g.Named {
		if f.Prefix == e.Conf && f.Rev > e.intake.ConfRev() && e.brings.begin(f, g.IP, time.Now()) {
			go e.bring(ctx)
		}
	}
}

// begin notes what a host has named, and reports whether it is to be got now.
func (b *brings) begin(f feed.Feed, from string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.has(f.Rev-1, now) || now.Before(b.rests) {
		return false
	}
	if f.Rev > b.newest.Rev {
		b.newest, b.from = f, from
	}
	begins := !b.busy
	b.busy = true
	return begins
}

// next returns what is to be got; ok is false where all of it has come.
func (b *brings) next() (f feed.Feed, from string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy = b.newest.Rev > b.got
	return b.newest, b.from, b.busy
}

// came notes that rows have come up to a revision.
func (b *brings) came(rev int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.got, b.gotAt = max(b.got, rev), time.Now()
}

// has reports whether rows beyond a revision came a moment ago. It needs the lock.
func (b *brings) has(beyond int64, now time.Time) bool {
	return b.got > beyond && now.Sub(b.gotAt) < takenFor
}

// failed notes that nobody gave them.
func (b *brings) failed(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy, b.newest, b.rests = false, feed.Feed{}, now.Add(ownFor)
}

// coming reports whether a configuration newer than a revision is on its way to this host.
func (b *brings) coming(than int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.busy || b.has(than, time.Now())
}

// bring gets the configuration from the host that has named it, or else from others that this one hears.
func (e *Edge) bring(ctx context.Context) {
	m, mesh := e.mates.Load(), e.mesh.Load()
	ctx, cancel := context.WithTimeout(ctx, bringFor)
	defer cancel()
	for f, from, ok := e.brings.next(); ok; f, from, ok = e.brings.next() {
		after := max(f.After, e.intake.ConfRev())
		begun := time.Now()
		list, rev, err := e.fetch(mesh).Rows(ctx, e.givers(m, from), f.Prefix, after)
		if err != nil {
			e.Log.Info("configuration not got from other hosts", zap.String("host", from), zap.Int64("after", after), zap.Int64("revision", f.Rev), zap.Error(err))
			e.brings.failed(time.Now())
			return
		}
		e.Log.Info("configuration got from another host", zap.String("host", from), zap.Int64("after", after), zap.Int64("revision", rev),
			zap.Int("bytes", size(list)), zap.Duration("took", time.Since(begun)))
		e.feeds.Take(feed.Feed{Prefix: f.Prefix, After: after, Rev: rev, Rows: list})
		e.brings.came(rev)
		e.intake.WakeConf()
	}
}

// givers returns the hosts that are asked for a configuration: the one that has named it, those that tell this one of others, and strong ones of its
// data centre, since the first may be lost at this moment.
func (e *Edge) givers(m *mates.Mates, from string) []mate.Mate {
	hosts := []mate.Mate{e.tenure.Host(from)}
	_, partners := m.Partners()
	for _, h := range slices.Concat(partners, m.Ahead()) {
		known := func(other mate.Mate) bool { return other.IP == h.IP }
		if h.Centre == e.Setup().Centre && len(hosts) < mostGivers && !slices.ContainsFunc(hosts, known) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// withoutBrought returns how far another host knows the store, but for a configuration that is on its way to this one: it need not be read, and what
// else the other one has read can be relied on.
func (e *Edge) withoutBrought(read marks.Marks) marks.Marks {
	if known := e.intake.ConfRev(); read.Conf > known && e.brings.coming(known) {
		read.Conf = known
	}
	return read
}

// fetch returns what gets rows from other hosts.
func (e *Edge) fetch(mesh *peer.Mesh) *fetch.Fetch {
	ask := func(ctx context.Context, to mate.Mate, q piece.Piece) (c chunk.Chunk, err error) {
		err = mesh.Ask(ctx, to.Peers, methodPiece, q, &c)
		return c, err
	}
	return &fetch.Fetch{Ask: ask, Past: &e.past, Log: e.Log}
}
