package proxy

import (
	"time"

	"damaskreach/internal/ident"
	"damaskreach/pkg/refuse"
)

// soundAfter is how long after its first event a request is known not to crash its engine: such requests do so as they begin to run.
const soundAfter = 500 * time.Millisecond

// suspect returns what the request is known by as one that may crash upstreams; once it has run well for a while, without the parts of its prompt.
func (j *job) suspect() ident.Ident {
	if j.sound {
		return j.ident.WithParts(nil)
	}
	return j.ident
}

// recordSound records that the request ran well, once its stream has lasted for soundAfter.
func (p *Proxy) recordSound(j *job, now time.Time) {
	if j.sound || now.Sub(j.firstByteAt) < soundAfter {
		return
	}
	j.sound = true
	p.Guard.RecordSound(j.ident, now)
}

// blocked returns why the request must not be sent now, if it seems to crash upstreams.
func (p *Proxy) blocked(j *job) *refuse.Refusal {
	why := p.Guard.Blocked(j.suspect(), time.Now())
	if why == "" {
		return nil
	}
	return refuse.NewRefusal(j.verdict(), refuse.Suspect, "%s", why).WithRetry(suspectRetry)
}
