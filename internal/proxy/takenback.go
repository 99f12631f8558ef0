package proxy

import (
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/kinds"
	"damaskreach/internal/resp"
	"damaskreach/internal/target"
	"damaskreach/pkg/verd"
)

// takeBackParts is the part of its route's target time, one in so many, for which a request that may run once waits after a rejection: an upstream that runs
// it all the same answers again meanwhile. The waits of all sends together stay within the target.
const takeBackParts = maxSends

// takenBack waits for an upstream that has rejected a request to answer it all the same. Only requests that may run once are worth the wait: sent on, they would run
// twice. Streams answer too late to be waited for.
func (p *Proxy) takenBack(j *job, t target.Target, r resp.Resp) (later resp.Resp, ok bool) {
	if j.route.Kind != kinds.Once || r.Later == nil {
		return resp.Resp{}, false
	}
	later, ok = r.Later(min(j.route.Target/takeBackParts, time.Until(j.deadline())))
	if !ok || later.Verdict(false) == verd.NotRun {
		return resp.Resp{}, false
	}
	p.countSend(t, "taken-back")
	p.Log.Warn("upstream answered a request that it had rejected", zap.String("request", j.req.ID), zap.String("target", t.ID),
		zap.Int("rejection", r.Status), zap.Int("status", later.Status), zap.Duration("waited", time.Since(j.sentAt)))
	return later, true
}
