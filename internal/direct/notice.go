package direct

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/resp"
	"damaskreach/internal/target"
)

// heed takes what an upstream says of itself beside an answer. An answer to a misdirected request may be that of another upstream, which has
// the address now.
func (x *Direct) heed(t target.Target, r resp.Resp) {
	if r.Status == http.StatusMisdirectedRequest {
		return
	}
	n, err := x.Notice(r.Status, r.Header)
	if err != nil {
		x.Log.Info("notice not understood", zap.String("target", t.ID), zap.Error(err))
	}
	if x.Avoid.Hear(t, n, time.Now()) {
		x.Log.Info("upstream says that it leaves", zap.String("target", t.ID))
	}
	if n.Rest > 0 {
		x.Log.Info("upstream asks for rest", zap.String("target", t.ID), zap.Duration("rest", n.Rest))
	}
	// What cannot be read is no word that a limit has ended.
	if err == nil && x.Ration.Hear(t.ID, n) {
		x.Log.Info("upstream's limit", zap.String("target", t.ID), zap.Bool("limited", n.Limited), zap.Float64("limit", n.Limit))
		go x.TellLimit(t.ID)
	}
	if err == nil && x.Flight.Hear(t, n) {
		x.Log.Info("upstream's brittleness", zap.String("target", t.ID), zap.Int("bears", n.Brittle))
		go x.TellLimit(t.ID)
	}
}
