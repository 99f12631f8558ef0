package proxy

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/resp"
	"damaskreach/internal/target"
)

// applyNotice applies what an upstream announces about itself in an answer. The answer to a misdirected request is ignored: it
// may come from another upstream that now has the address.
func (p *Proxy) applyNotice(t target.Target, r resp.Resp) {
	if r.Status == http.StatusMisdirectedRequest {
		return
	}
	n, err := p.DecodeNotice(r.Status, r.Header)
	if err != nil {
		p.Log.Info("invalid notice from upstream", zap.String("target", t.ID), zap.Error(err))
	}
	if p.Avoid.Record(t, n, time.Now()) {
		p.Log.Info("upstream says that it leaves", zap.String("target", t.ID))
	}
	if n.Rest > 0 {
		p.Log.Info("upstream asks for rest", zap.String("target", t.ID), zap.Duration("rest", n.Rest))
	}
	// A notice that cannot be read does not mean that a limit has ended.
	if err == nil && p.Ration.Observe(t.ID, n) {
		p.Log.Info("upstream's limit", zap.String("target", t.ID), zap.Bool("limited", n.Limited), zap.Float64("limit", n.Limit))
		go p.AnnounceLimit(t.ID)
	}
	if err == nil && p.Flight.Observe(t, n) {
		p.Log.Info("upstream's brittleness", zap.String("target", t.ID), zap.Int("bears", n.Brittle))
		go p.AnnounceLimit(t.ID)
	}
}
