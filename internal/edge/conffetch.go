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
	// maxInlineBytes is the largest configuration, in bytes, that is sent inside a message between hosts: 7 ms of a 10 Mbit/s link.
	maxInlineBytes = 8 << 10
	// confFetchTimeout bounds fetching a configuration from other hosts.
	confFetchTimeout = 10 * time.Second
	// confApplyTimeout is how long a fetched configuration may take to be applied.
	confApplyTimeout = time.Second
	// maxConfSources is how many hosts are asked for a configuration.
	maxConfSources = 4
	// confFetchBackoff is how long a host reads the store itself after a failed fetch before it asks others again.
	confFetchBackoff = 2 * time.Second
)

// confFetch is the state of fetching the configuration from other hosts.
type confFetch struct {
	mu           sync.Mutex
	newest       feed.Feed // newest that was announced
	from         string    // host that announced it
	fetchedRev   int64     // revision up to which rows were fetched
	fetchedAt    time.Time // time of the last fetch
	running      bool
	backoffUntil time.Time // the host reads the store itself until then
}

// splitNamed separates rows to send inside a message from large ones that are only announced.
func (e *Edge) splitNamed(list []feed.Feed) (along, named []feed.Feed) {
	for _, f := range list {
		if f.Prefix == e.ConfPrefix && valueBytes(f.Rows) > maxInlineBytes {
			f.Rows = nil
			named = append(named, f)
		} else {
			along = append(along, f)
		}
	}
	return along, named
}

// fetchNamed fetches a configuration that another host announced, unless a fetch is under way.
func (e *Edge) fetchNamed(ctx context.Context, g gossip.Gossip) {
	for _, f := range g.LargeFeeds {
		if f.Prefix == e.ConfPrefix && f.Rev > e.intake.ConfRev() && e.confFetch.begin(f, g.IP, time.Now()) {
			go e.fetchConf(ctx)
		}
	}
}

// begin records an announced configuration and reports whether to start fetching.
func (c *confFetch) begin(f feed.Feed, from string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recentlyFetched(f.Rev-1, now) || now.Before(c.backoffUntil) {
		return false
	}
	if f.Rev > c.newest.Rev {
		c.newest, c.from = f, from
	}
	starts := !c.running
	c.running = true
	return starts
}

// next returns the configuration to fetch; ok is false when all of it was fetched.
func (c *confFetch) next() (f feed.Feed, from string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = c.newest.Rev > c.fetchedRev
	return c.newest, c.from, c.running
}

// noteFetched records that rows up to a revision were fetched.
func (c *confFetch) noteFetched(rev int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fetchedRev, c.fetchedAt = max(c.fetchedRev, rev), time.Now()
}

// recentlyFetched reports whether rows beyond a revision were just fetched. The caller must hold the lock.
func (c *confFetch) recentlyFetched(beyond int64, now time.Time) bool {
	return c.fetchedRev > beyond && now.Sub(c.fetchedAt) < confApplyTimeout
}

// noteFailed records that no host sent the rows.
func (c *confFetch) noteFailed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running, c.newest, c.backoffUntil = false, feed.Feed{}, now.Add(confFetchBackoff)
}

// pending reports whether a configuration newer than a revision is being fetched or applied.
func (c *confFetch) pending(rev int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running || c.recentlyFetched(rev, time.Now())
}

// fetchConf fetches the announced configuration from the host that announced it, or else from other known hosts.
func (e *Edge) fetchConf(ctx context.Context) {
	m, mesh := e.mates.Load(), e.mesh.Load()
	ctx, cancel := context.WithTimeout(ctx, confFetchTimeout)
	defer cancel()
	for f, from, ok := e.confFetch.next(); ok; f, from, ok = e.confFetch.next() {
		after := max(f.After, e.intake.ConfRev())
		start := time.Now()
		list, rev, err := e.newFetch(mesh).Rows(ctx, e.confSources(m, from), f.Prefix, after)
		if err != nil {
			e.Log.Info("failed to fetch configuration from other hosts", zap.String("host", from), zap.Int64("after", after),
				zap.Int64("revision", f.Rev), zap.Error(err))
			e.confFetch.noteFailed(time.Now())
			return
		}
		e.Log.Info("configuration fetched from another host", zap.String("host", from), zap.Int64("after", after), zap.Int64("revision", rev),
			zap.Int("bytes", valueBytes(list)), zap.Duration("took", time.Since(start)))
		e.feeds.Receive(feed.Feed{Prefix: f.Prefix, After: after, Rev: rev, Rows: list})
		e.confFetch.noteFetched(rev)
		e.intake.WakeConf()
	}
}

// confSources returns the hosts to ask for a configuration: the one that announced it, this host's gossip partners, and stronger hosts of
// its data centre, since the first may just have failed.
func (e *Edge) confSources(m *mates.Mates, from string) []mate.Mate {
	hosts := []mate.Mate{e.tenure.Host(from)}
	_, partners := m.Partners()
	for _, h := range slices.Concat(partners, m.HigherRanked()) {
		known := func(other mate.Mate) bool { return other.IP == h.IP }
		if h.Centre == e.Setup().Centre && len(hosts) < maxConfSources && !slices.ContainsFunc(hosts, known) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// withoutPendingConf returns another host's marks without a configuration that is already on its way here: it need not be read from the
// store, and the rest of that host's read can be relied on.
func (e *Edge) withoutPendingConf(read marks.Marks) marks.Marks {
	if known := e.intake.ConfRev(); read.Conf > known && e.confFetch.pending(known) {
		read.Conf = known
	}
	return read
}

// newFetch returns a client that fetches rows from other hosts.
func (e *Edge) newFetch(mesh *peer.Mesh) *fetch.Fetch {
	ask := func(ctx context.Context, to mate.Mate, q piece.Piece) (c chunk.Chunk, err error) {
		err = mesh.Ask(ctx, to.PeerAddr, methodPiece, q, &c)
		return c, err
	}
	return &fetch.Fetch{Ask: ask, Past: &e.past, Log: e.Log}
}
