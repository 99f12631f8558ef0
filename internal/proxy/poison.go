package proxy

import (
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/target"
	"damaskreach/pkg/refuse"
)

// soundAfter is how long after its first event a request is known not to crash its engine: such requests do so as they begin to run.
const soundAfter = 500 * time.Millisecond

// recordCrash records the parts of the request's prompt if its engine has crashed while it began to run the request.
func (p *Proxy) recordCrash(j *job, t target.Target) {
	if len(j.req.Parts) == 0 || j.sound || !p.Crashed(t.Addr) {
		return
	}
	if part := p.Poison.RecordCrash(j.req.Parts, incarnation(t), time.Now()); part != "" {
		p.Log.Warn("part of prompts crashes engines", zap.String("part", part), zap.String("request", j.req.ID), zap.String("target", t.ID))
	}
}

// recordSound records that the request ran well, once its stream has lasted for soundAfter.
func (p *Proxy) recordSound(j *job, now time.Time) {
	if j.sound || now.Sub(j.firstByteAt) < soundAfter {
		return
	}
	j.sound = true
	p.Poison.RecordSound(j.req.Parts, now)
}

// blocked returns why a request must not be sent, if it or a part of its prompt crashes upstreams. It is asked before each send: others like it may
// have crashed upstreams while this one waited.
func (p *Proxy) blocked(j *job) *refuse.Refusal {
	now := time.Now()
	if p.Blame.Blocked(j.fingerprint, now) {
		return refuse.NewRefusal(j.verdict(), refuse.Suspect, "upstreams broke off under earlier tries of it").WithRetry(suspectRetry)
	}
	if j.sound {
		return nil
	}
	part := p.Poison.Blocked(j.req.Parts, now)
	if part == "" {
		return nil
	}
	return refuse.NewRefusal(j.verdict(), refuse.Suspect, "engines crashed under prompts with the part %s", part).WithRetry(suspectRetry)
}

// suspected reports whether other engines crashed under what this request holds too, so that it must not go to a further one.
func (p *Proxy) suspected(j *job, now time.Time) bool {
	return p.Blame.Blocked(j.fingerprint, now) || !j.sound && p.Poison.Suspected(j.req.Parts, now)
}
