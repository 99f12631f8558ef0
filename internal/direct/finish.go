package direct

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/stats"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// status returns the status of a refusal. A 503 promises that the request has not run and never will: it is given for no
// other verdict.
func status(r *refuse.Refusal) int {
	switch r.Code {
	case refuse.BadRequest, refuse.NoRoute, refuse.TooLarge, refuse.Unauthorized, refuse.Limited:
		return r.Status()
	case refuse.SlowBody:
		return http.StatusRequestTimeout
	}
	if r.Verdict == verd.NotRun {
		return http.StatusServiceUnavailable
	}
	if r.Code == refuse.Deadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// refuse gives the caller its final answer. Where part of another answer has gone out, the connection is broken off, so
// that what the caller has does not look whole.
func (x *Direct) refuse(w http.ResponseWriter, j *job, r *refuse.Refusal) {
	x.finish(j, r.Code, r.Verdict, "", status(r))
	x.Log.Info("refused", zap.String("request", j.d.ID), zap.String("code", r.Code), zap.Stringer("verdict", r.Verdict),
		zap.String("why", r.Text), zap.String("route", j.route.Name), zap.String("team", j.team.Name), zap.String("adapter", j.d.Adapter),
		zap.Int("sends", j.sends), zap.Int("runs", j.runs), zap.Duration("after", time.Since(j.begun)),
		zap.Int64("rules", j.view.Rules.Version), zap.Duration("age", x.Age()))
	if j.headed {
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(r)
	if err != nil {
		x.Log.Error("refusal not encoded", zap.Error(err))
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if r.Retry > 0 && r.Verdict == verd.NotRun {
		h.Set("Retry-After", strconv.FormatFloat(r.Retry.Seconds(), 'f', 2, 64))
	}
	if r.Code == refuse.Unauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(status(r))
	if _, err := w.Write(body); err != nil {
		x.Log.Debug("caller left", zap.String("request", j.d.ID), zap.Error(err))
	}
}

// finish counts and logs the end of a request.
func (x *Direct) finish(j *job, code string, verdict verd.Verdict, id string, status int) {
	x.release(&j.turn, false)
	if j.next != nil {
		x.release(&j.next.turn, false)
	}
	now := time.Now()
	first := time.Duration(0)
	if !j.first.IsZero() {
		first = j.first.Sub(j.begun)
	}
	if code == "ok" && j.runs > 0 && j.print != "" {
		x.Blame.Served(j.print)
	}
	if j.back != nil && verdict == verd.NotRun {
		j.back()
		x.Stats.Add(stats.Units, int64(j.units), "team", j.team.Name, "outcome", "returned")
	}
	x.count(j, code, verdict, now, first)
	x.Requests.Info("request ended", zap.String("request", j.d.ID), zap.String("route", j.route.Name), zap.String("team", j.team.Name), zap.Float64("units", j.units), zap.String("code", code),
		zap.Int("status", status), zap.String("target", id), zap.String("adapter", j.d.Adapter), zap.Int("version", j.version),
		zap.Int("prompt", j.d.Prompt), zap.Int("sends", j.sends), zap.Int("runs", j.runs), zap.String("note", j.note),
		zap.Duration("turn", j.waitedFor()), zap.Duration("expected", j.expected), zap.Duration("first", first), zap.Duration("pause", j.pause), zap.Duration("took", now.Sub(j.begun)),
		zap.Duration("goal", j.route.Target), zap.Duration("most", j.route.Gap), zap.Int64("rules", j.view.Rules.Version),
		zap.Duration("age", x.Age()))
}

// count counts a request that has ended, by its route.
func (x *Direct) count(j *job, code string, verdict verd.Verdict, now time.Time, first time.Duration) {
	route := j.route.Name
	x.Stats.Add(stats.Requests, 1, "route", route, "code", code, "verdict", verdict.String())
	if j.team.Name != "" {
		x.Stats.Add(stats.Teams, 1, "team", j.team.Name, "code", code)
	}
	x.Stats.Time(stats.Took, now.Sub(j.begun), "route", route)
	if first > 0 {
		x.Stats.Time(stats.First, first, "route", route)
	}
	if !j.sent.IsZero() {
		x.Stats.Time(stats.Turn, j.waitedFor(), "route", route)
	}
	if j.pause > 0 {
		x.Stats.Time(stats.Pause, j.pause, "route", route)
	}
}
