package owner

import "time"

// announce publishes the digests of all runners held, at most once a tick: many requests start and end between two ticks, and the other nodes count
// their own choices. Package share sends each node what it lacks.
func (o *Owner) announce(now time.Time) {
	if now.Sub(o.told) < tick {
		o.news = true
		return
	}
	o.news = false
	o.told = now
	o.Changed(o.digests(now))
}
