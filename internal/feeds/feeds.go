// Package feeds passes changes of the store's rows from the host that reads them in a data centre to its other hosts.
//
// Were these only told that there is something newer, each would read it for itself, and every change would cost as many calls as
// there are hosts: the calls of a site would grow with the square of what it has, and the store refuses those beyond its rate.
// Only changes that matter to others are passed on; a host that has missed some, or that nobody reads for, reads the store.
package feeds

import (
	"cmp"
	"slices"
	"sync"

	"damaskreach/internal/feed"
	"damaskreach/internal/rows"
)

// mostRows is how many rows under a prefix are kept for hosts that have not seen them: as many as a large site claims engines within the time
// that news takes to all hosts, at some hundred bytes each. Of the configuration the newest row alone is kept.
const mostRows = 2000

// Feeds may be used from several goroutines.
type Feeds struct {
	mu    sync.Mutex
	kept  map[string]feed.Feed            // what this host has read or heard of, by prefix
	heard map[string]feed.Feed            // what it heard of and has not taken yet
	known map[string]map[string]feed.Feed // how far other hosts have read, by host and prefix
}

// NewFeeds returns feeds that know of nothing.
func NewFeeds() *Feeds {
	return &Feeds{kept: map[string]feed.Feed{}, heard: map[string]feed.Feed{}, known: map[string]map[string]feed.Feed{}}
}

// Keep takes the rows that matter to others among those that changed after a revision, feed.Whole or feed.Start, up to another.
func (f *Feeds) Keep(prefix string, after, rev int64, list []rows.Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old, ok := f.kept[prefix]
	if after == feed.Start {
		old = feed.Feed{Rev: rev}
	} else if after == feed.Whole || !ok || old.Rev != after || rows.CompareEras(after, rev) != 0 {
		// What a host knows of an era is gone with it: another host may know what this one never did, and would keep it.
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
	if over := len(next.Rows) - mostRows; over > 0 {
		// Those of a list come by their keys: dropped like that, newer changes than the one that is told would be missing.
		slices.SortStableFunc(next.Rows, func(a, b rows.Row) int { return cmp.Compare(a.Rev, b.Rev) })
		next.After = next.Rows[over-1].Rev
		next.Rows = next.Rows[over:]
	}
	f.kept[prefix] = next
}

// Tail returns what was heard of rows under a prefix that changed after a revision; ok is false where that is nothing new, or not
// all of it.
func (f *Feeds) Tail(prefix string, after int64) (list []rows.Row, rev int64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	heard, known := f.heard[prefix]
	if !known || heard.After > after || heard.Rev <= after {
		return nil, 0, false
	}
	delete(f.heard, prefix)
	return since(heard.Rows, after), heard.Rev, true
}

// since returns the rows that changed after a revision.
func since(list []rows.Row, after int64) []rows.Row {
	var newer []rows.Row
	for _, row := range list {
		if row.Rev > after {
			newer = append(newer, row)
		}
	}
	return newer
}

// Known returns how far this host knows the rows under each prefix.
func (f *Feeds) Known() []feed.Feed {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]feed.Feed, 0, len(f.kept))
	for prefix, kept := range f.kept {
		list = append(list, feed.Feed{Prefix: prefix, Rev: kept.Rev})
	}
	return list
}

// Hear takes how far another host knows the rows, and what it passes on.
func (f *Feeds) Hear(host string, known, passed []feed.Feed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	far := make(map[string]feed.Feed, len(known))
	for _, k := range known {
		far[k.Prefix] = k
	}
	f.known[host] = far
	for _, p := range passed {
		f.take(p)
	}
}

// For returns what a host has not seen yet of what this one knows.
func (f *Feeds) For(host string) []feed.Feed {
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

// Since returns what this host knows of rows under a prefix beyond a revision; ok is false where that is nothing, or not all.
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
	newer = feed.Feed{Prefix: prefix, After: after, Rev: kept.Rev, Rows: since(kept.Rows, after)}
	return newer, len(newer.Rows) > 0
}

// Take takes rows that another host has passed on.
func (f *Feeds) Take(passed feed.Feed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.take(passed)
}

func (f *Feeds) take(passed feed.Feed) {
	if passed.Rev > f.heard[passed.Prefix].Rev {
		f.heard[passed.Prefix] = passed
	}
}

// Forget drops what is known of a host that is gone.
func (f *Feeds) Forget(gone func(host string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for host := range f.known {
		if gone(host) {
			delete(f.known, host)
		}
	}
}
