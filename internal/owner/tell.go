package owner

import "time"

// announce passes on the digests of all runners held, at most once in a tick: between two of them many requests start
// and end, and the other nodes count their own choices themselves. Package share sends each node what it lacks.
func (o *Owner) announce(now time.Time) {
	if now.Sub(o.told) < tick {
		o.news = true
		return
	}
	o.news = false
	o.told = now
	o.Changed(o.digests(now))
}
