package proxy

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

// refusalStatus returns the HTTP status of a refusal. A 503 promises that the request has not run and never will, so it is used
// for no other verdict.
func refusalStatus(r *refuse.Refusal) int {
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

// refuse gives the caller its final answer. If part of another answer was sent, it breaks the connection off instead, so that
// the part doesn't look complete.
func (p *Proxy) refuse(w http.ResponseWriter, j *job, r *refuse.Refusal) {
	p.finish(j, r.Code, r.Verdict, "", refusalStatus(r))
	p.Log.Info("refused", zap.String("request", j.req.ID), zap.String("code", r.Code), zap.Stringer("verdict", r.Verdict),
		zap.String("why", r.Text), zap.String("route", j.route.Name), zap.String("team", j.team.Name), zap.String("adapter", j.req.Adapter),
		zap.Int("sends", j.sends), zap.Int("runs", j.runs), zap.Duration("after", time.Since(j.start)),
		zap.Int64("rules", j.view.Rules.Version), zap.Duration("age", p.ViewAge()))
	if j.headerSent {
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(r)
	if err != nil {
		p.Log.Error("refusal not encoded", zap.Error(err))
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
	w.WriteHeader(refusalStatus(r))
	if _, err := w.Write(body); err != nil {
		p.Log.Debug("writing the answer failed", zap.String("request", j.req.ID), zap.Error(err))
	}
}

// finish counts and logs the end of a request, and gives back its turns and, if it has not run, its team's charge.
func (p *Proxy) finish(j *job, code string, verdict verd.Verdict, id string, status int) {
	p.releaseTurn(&j.turn, false)
	if j.nextPlacement != nil {
		p.releaseTurn(&j.nextPlacement.turn, false)
	}
	now := time.Now()
	firstByte := time.Duration(0)
	if !j.firstByteAt.IsZero() {
		firstByte = j.firstByteAt.Sub(j.start)
	}
	if code == "ok" && j.runs > 0 {
		p.Guard.RecordAnswer(j.run, status, now)
	}
	if j.refund != nil && verdict == verd.NotRun {
		j.refund()
		p.Stats.Add(stats.Units, int64(j.units), "team", j.team.Name, "outcome", "returned")
	}
	p.countRequest(j, code, verdict, now, firstByte)
	p.RequestLog.Info("request ended", zap.String("request", j.req.ID), zap.String("route", j.route.Name), zap.String("team", j.team.Name),
		zap.Float64("units", j.units), zap.String("code", code),
		zap.Int("status", status), zap.String("target", id), zap.String("build", j.sentBuild), zap.String("resumes", j.req.Resumes),
		zap.String("from", j.req.LastSeen), zap.String("adapter", j.req.Adapter), zap.Int("version", j.version),
		zap.Int("prompt", j.req.Prompt), zap.Int("sends", j.sends), zap.Int("runs", j.runs), zap.String("note", j.note),
		zap.Duration("turn", j.queueTime()), zap.Duration("expected", j.expectedFirst), zap.Duration("first", firstByte),
		zap.Duration("pause", j.longestPause), zap.Duration("took", now.Sub(j.start)),
		zap.Duration("goal", j.route.Target), zap.Duration("most", j.route.Gap), zap.Int64("rules", j.view.Rules.Version),
		zap.Duration("age", p.ViewAge()))
}

// countRequest counts a request that has ended, by its route.
func (p *Proxy) countRequest(j *job, code string, verdict verd.Verdict, now time.Time, firstByte time.Duration) {
	route := j.route.Name
	p.Stats.Add(stats.Requests, 1, "route", route, "code", code, "verdict", verdict.String())
	if j.team.Name != "" {
		p.Stats.Add(stats.Teams, 1, "team", j.team.Name, "code", code)
	}
	p.Stats.Time(stats.Took, now.Sub(j.start), "route", route)
	if firstByte > 0 {
		p.Stats.Time(stats.First, firstByte, "route", route)
	}
	if !j.sentAt.IsZero() {
		p.Stats.Time(stats.Turn, j.queueTime(), "route", route)
	}
	if j.longestPause > 0 {
		p.Stats.Time(stats.Pause, j.longestPause, "route", route)
	}
}
