package owner

import (
	"reflect"
	"slices"
	"time"

	"damaskreach/internal/digest"
)

// refresh is the longest time between two digests of a runner; it makes good a message that was lost.
const refresh = 5 * time.Second

// announce passes on what other nodes need to know of the runners held, at most once in a tick: between two of them
// many requests start and end, and the other nodes count their own choices themselves. A runner on which nothing
// happened is left out: at 1,300 nodes a digest a second of each would be most of the traffic between nodes.
func (o *Owner) announce(now time.Time) {
	if now.Sub(o.told) < tick {
		o.news = true
		return
	}
	o.news = false
	o.told = now
	var news []digest.Digest
	for _, h := range o.held {
		if d := o.digest(now, h); h.tells(now, d) {
			news = append(news, d)
		}
	}
	if len(news) > 0 {
		o.Changed(news)
	}
}

// tells reports whether a digest has to be passed on, and notes that it is.
func (h *held) tells(now time.Time, d digest.Digest) bool {
	if !h.stirred && now.Sub(h.toldAt) < refresh && alike(d, h.told) {
		return false
	}
	h.stirred, h.toldAt, h.told = false, now, d
	return true
}

// alike compares digests but for what changes by itself with time.
func alike(a, b digest.Digest) bool {
	a.Number, a.Cheap = b.Number, b.Cheap
	return reflect.DeepEqual(a, b)
}

// welcome has every digest passed on again when a node has joined, which knows none of them.
func (o *Owner) welcome(now time.Time) {
	var live []string
	for _, s := range o.Members.Live(now) {
		live = append(live, s.ID())
	}
	if slices.Equal(live, o.known) {
		return
	}
	o.known = live
	for _, h := range o.held {
		h.stirred = true
	}
}
