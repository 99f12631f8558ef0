// Package feeds forwards row changes from the host that reads the store in a data centre to its other hosts.
//
// If the other hosts only learned that something changed, each would read the store itself: calls would grow with the square of
// the site's size, and the store refuses calls beyond its rate limit. Only changes that other hosts need are forwarded; a host
// that has missed some, or for which no host reads, reads the store itself.
package feeds

import (
	"cmp"
	"slices"
	"sync"

	"damaskreach/internal/feed"
	"damaskreach/internal/rows"
)

// maxRows limits the rows kept per prefix for hosts that have not seen them. It is the number of engines that a large site claims in
// the time that a change takes to reach all hosts; a row takes a few hundred bytes. Of the configuration, only the latest row is kept.
const maxRows = 2000

// Feeds holds row changes to forward to other hosts and those received from them. It is safe for concurrent use.
type Feeds struct {
	mu       sync.Mutex
	kept     map[string]feed.Feed            // changes read or received by this host, by prefix
	received map[string]feed.Feed            // received but not yet returned by Tail
	known    map[string]map[string]feed.Feed // revisions that other hosts have read, by host and prefix
}

// NewFeeds returns empty Feeds.
func NewFeeds() *Feeds {
	return &Feeds{kept: map[string]feed.Feed{}, received: map[string]feed.Feed{}, known: map[string]map[string]feed.Feed{}}
}

// Keep adds the rows to forward that changed after one revision (or feed.Whole, feed.Start) up to another.
func (f *Feeds) Keep(prefix string, after, rev int64, list []rows.Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old, ok := f.kept[prefix]
	if after == feed.Start {
		old = feed.Feed{Rev: rev}
	} else if after == feed.Whole || !ok || old.Rev != after || rows.CompareEras(after, rev) != 0 {
		// Changes of an earlier era are dropped: another host may hold rows of it that this one never saw, and would keep them.
		f.kept[prefix] = feed.Feed{Prefix: prefix, After: rev, Rev: rev}
		return
	}
	changed := map[string]bool{}
	for _, row := range list {
		changed[row.Key] = true
	}
	next := feed.Feed{Prefix: prefix, After: old.After, Rev: max(rev, old.Rev)}
	for _, row := range old.Rows {
		if !changed[row.Key] {
			next.Rows = append(next.Rows, row)
		}
	}
	next.Rows = append(next.Rows, list...)
	if over := len(next.Rows) - maxRows; over > 0 {
		// A list is ordered by key. Without sorting by revision, changes newer than next.After could be dropped.
		slices.SortStableFunc(next.Rows, func(a, b rows.Row) int { return cmp.Compare(a.Rev, b.Rev) })
		next.After = next.Rows[over-1].Rev
		next.Rows = next.Rows[over:]
	}
	f.kept[prefix] = next
}

// Tail returns and removes the received rows under a prefix that changed after a revision; ok is false if there are none or
// some are missing.
func (f *Feeds) Tail(prefix string, after int64) (list []rows.Row, rev int64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	tail, known := f.received[prefix]
	if !known || tail.After > after || tail.Rev <= after {
		return nil, 0, false
	}
	delete(f.received, prefix)
	return changedAfter(tail.Rows, after), tail.Rev, true
}

// changedAfter returns the rows that changed after a revision.
func changedAfter(list []rows.Row, after int64) []rows.Row {
	var newer []rows.Row
	for _, row := range list {
		if row.Rev > after {
			newer = append(newer, row)
		}
	}
	return newer
}

// Known returns the revision up to which this host knows the rows, for each prefix.
func (f *Feeds) Known() []feed.Feed {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]feed.Feed, 0, len(f.kept))
	for prefix, kept := range f.kept {
		list = append(list, feed.Feed{Prefix: prefix, Rev: kept.Rev})
	}
	return list
}

// Update records the revisions that another host knows and receives the changes that it forwards.
func (f *Feeds) Update(host string, known, forwarded []feed.Feed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	revs := make(map[string]feed.Feed, len(known))
	for _, k := range known {
		revs[k.Prefix] = k
	}
	f.known[host] = revs
	for _, p := range forwarded {
		f.receive(p)
	}
}

// Unseen returns the changes that this host knows and another host has not seen.
func (f *Feeds) Unseen(host string) []feed.Feed {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []feed.Feed
	for prefix, far := range f.known[host] {
		if newer, ok := f.since(prefix, far.Rev); ok {
			list = append(list, newer)
		}
	}
	return list
}

// Since returns the known changes under a prefix after a revision; ok is false if there are none or some are missing.
func (f *Feeds) Since(prefix string, after int64) (newer feed.Feed, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.since(prefix, after)
}

func (f *Feeds) since(prefix string, after int64) (newer feed.Feed, ok bool) {
	kept, known := f.kept[prefix]
	if !known || after < kept.After || after >= kept.Rev {
		return feed.Feed{}, false
	}
	newer = feed.Feed{Prefix: prefix, After: after, Rev: kept.Rev, Rows: changedAfter(kept.Rows, after)}
	return newer, len(newer.Rows) > 0
}

// Receive stores changes that another host has forwarded, if they are newer than those received before.
func (f *Feeds) Receive(forwarded feed.Feed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receive(forwarded)
}

func (f *Feeds) receive(forwarded feed.Feed) {
	if forwarded.Rev > f.received[forwarded.Prefix].Rev {
		f.received[forwarded.Prefix] = forwarded
	}
}

// Forget drops the known revisions of hosts that are gone.
func (f *Feeds) Forget(gone func(host string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for host := range f.known {
		if gone(host) {
			delete(f.known, host)
		}
	}
}
