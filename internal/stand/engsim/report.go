package engsim

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"damaskreach/internal/report"
)

// snapshot is what the engine would have reported at a time.
type snapshot struct {
	report report.Report
}

// note keeps the present state for later reports and forgets states older than the lag needs.
func (e *Engine) note() {
	now := time.Now()
	e.past = append(e.past, snapshot{report: e.state(now)})
	edge := now.Add(-e.Lag)
	for len(e.past) > 1 && !e.past[1].report.At.After(edge) {
		e.past = e.past[1:]
	}
}

func (e *Engine) state(now time.Time) report.Report {
	b := e.boot
	running := make(map[string]int)
	for _, r := range b.running {
		running[r.prefix.model]++
	}
	state := report.Report{
		At:       now,
		Boot:     b.id,
		Slots:    e.Slots,
		Batch:    e.Batch,
		Resident: slices.Sorted(maps.Keys(b.models)),
		Running:  running,
		Waiting:  len(b.waiting),
	}
	if e.Fences {
		state.Fence = e.fence
	}
	return state
}

// lagging returns the state of Lag ago; an engine younger than that reports its empty start.
func (e *Engine) lagging() report.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	edge := time.Now().Add(-e.Lag)
	latest := report.Report{At: edge, Boot: e.boot.id, Slots: e.Slots, Batch: e.Batch, Resident: []string{}, Running: map[string]int{}}
	for _, s := range e.past {
		if s.report.At.After(edge) {
			break
		}
		latest = s.report
		latest.At = edge
	}
	return latest
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, e.lagging())
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after := query(r, "after")
	e.mu.Lock()
	found := e.boot.cache.after(after, time.Now().Add(-e.Lag))
	e.mu.Unlock()
	reply(w, http.StatusOK, found)
}
