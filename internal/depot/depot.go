// Package depot gives other hosts rows that are too large for one message, piece by piece.
//
// A message between hosts tells that both are alive, and everything else between them waits behind it on the same link. Were a large row told along
// with it, as many hosts as a relay has would take it for lost while it sends. So a host asks for such rows by the piece, each of which holds a narrow
// link for some ten milliseconds, and few hosts are given to at once.
package depot

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/chunk"
	"damaskreach/internal/parcel"
	"damaskreach/internal/past"
	"damaskreach/internal/piece"
	"damaskreach/internal/rows"
)

const (
	// size is how many bytes a piece has: 13 ms of a link of 10 Mbit/s.
	size = 16 << 10
	// seats is how many hosts are given to at once.
	seats = 4
	// seatFor is how long a seat is kept for a host that asks for no further piece.
	seatFor = 300 * time.Millisecond
	// leastWait and mostWait bound when a host that gets no seat is to ask again, the later the more of them there are: they would ask more than they get.
	leastWait, mostWait = 40 * time.Millisecond, 200 * time.Millisecond
	// waitsFor is for how long a host that got no seat counts as one that waits.
	waitsFor = time.Second
	// keptFor is how long a parcel is kept that nobody asks for.
	keptFor = 2 * time.Second
)

// Depot may be used from several goroutines. Its exported fields are set before the first question.
type Depot struct {
	// Rows returns rows under a prefix that changed after a revision, or all for feed.Whole, and up to which revision; ok is false where this host
	// does not know them.
	Rows func(prefix string, after int64) (list []rows.Row, rev int64, ok bool)
	Past *past.Past

	mu    sync.Mutex
	kept  map[made]*kept
	taken map[string]time.Time // when each that has a seat asked last, by host and prefix
	waits map[string]time.Time // when each that got none asked last, likewise
}

// made is what a parcel was made of.
type made struct {
	prefix string
	after  int64
	rev    int64
	base   int64
}

type kept struct {
	parcel.Parcel
	at time.Time // when it was asked for last
}

// Answer returns what another host asks for.
func (d *Depot) Answer(from string, q piece.Piece) (chunk.Chunk, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	seat := from + " " + q.Prefix // a host may ask for rows of several kinds at once
	if !d.seat(seat, now) {
		wait := min(mostWait, leastWait*time.Duration(1+len(d.waits)/seats))
		return chunk.Chunk{WaitMS: wait.Milliseconds()}, nil
	}
	k, err := d.find(q)
	if err != nil || k == nil {
		delete(d.taken, seat)
		return chunk.Chunk{}, err
	}
	k.at = now
	offset := 0
	if k.Sum == q.Sum && q.Offset < len(k.Data) {
		offset = max(0, q.Offset)
	}
	end := min(offset+size, len(k.Data))
	if end == len(k.Data) {
		delete(d.taken, seat)
	}
	return chunk.Chunk{Rev: k.Rev, Base: k.Base, Sum: k.Sum, Size: len(k.Data), Offset: offset, Data: k.Data[offset:end]}, nil
}

// seat reports whether a host is given rows of one kind now. It needs the lock.
func (d *Depot) seat(of string, now time.Time) bool {
	if d.taken == nil {
		d.taken, d.waits = map[string]time.Time{}, map[string]time.Time{}
	}
	forget(d.taken, now.Add(-seatFor))
	forget(d.waits, now.Add(-waitsFor))
	if _, ok := d.taken[of]; !ok && len(d.taken) >= seats {
		d.waits[of] = now
		return false
	}
	delete(d.waits, of)
	d.taken[of] = now
	return true
}

// forget drops hosts that have not asked since.
func forget(asked map[string]time.Time, since time.Time) {
	maps.DeleteFunc(asked, func(_ string, at time.Time) bool { return at.Before(since) })
}

// find returns the parcel whose beginning a host has, or else one of the rows as they are now; nil where this host does not know them. A host goes on
// with what it has begun: changes that come faster than a parcel would keep it from ever having one. It needs the lock.
func (d *Depot) find(q piece.Piece) (*kept, error) {
	for of, k := range d.kept {
		if q.Sum != "" && k.Sum == q.Sum && of.prefix == q.Prefix && of.after == q.After {
			return k, nil
		}
	}
	list, rev, ok := d.Rows(q.Prefix, q.After)
	if !ok {
		return nil, nil
	}
	value, base := d.Past.Find(q.Bases...)
	of := made{prefix: q.Prefix, after: q.After, rev: rev, base: base}
	if k, ok := d.kept[of]; ok {
		return k, nil
	}
	// Two hosts that know the same make the same parcel, and either goes on with what the other has begun to give.
	list = slices.SortedFunc(slices.Values(list), func(a, b rows.Row) int { return cmp.Or(cmp.Compare(a.Rev, b.Rev), strings.Compare(a.Key, b.Key)) })
	p, err := parcel.NewParcel(list, rev, base, value)
	if err != nil {
		return nil, merry.Prependf(err, "rows of %q after %d", q.Prefix, q.After)
	}
	d.drop(time.Now())
	k := &kept{Parcel: p}
	if d.kept == nil {
		d.kept = map[made]*kept{}
	}
	d.kept[of] = k
	return k, nil
}

// drop drops parcels that nobody has asked for lately. It needs the lock.
func (d *Depot) drop(now time.Time) {
	for of, k := range d.kept {
		if now.Sub(k.at) > keptFor {
			delete(d.kept, of)
		}
	}
}
