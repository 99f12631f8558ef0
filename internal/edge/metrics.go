package edge

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/prom"
	"damaskreach/internal/rows"
	"damaskreach/internal/stats"
	"damaskreach/internal/table"
)

// unknownAge is the age reported for data that this host never received.
const unknownAge = -1

// serveMetrics answers scrapes.
func (e *Edge) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", prom.Kind)
	if err := e.Stats.Write(w); err != nil {
		e.Log.Debug("failed to write metrics", zap.Error(err))
	}
}

// registerGauges registers the values read at each scrape: how much this host knows, and how old that is.
func (e *Edge) registerGauges() {
	age := func(belief string, read func() float64) { e.Stats.Gauge(stats.Age, read, "belief", belief) }
	age("upstreams", func() float64 {
		if _, read := e.intake.Age(); !read {
			return unknownAge
		}
		return e.readAge().Seconds()
	})
	age("configuration", func() float64 {
		old, ok := e.intake.ConfAge()
		if !ok {
			return unknownAge
		}
		return old.Seconds()
	})
	age("hosts", func() float64 {
		m := e.mates.Load()
		if m == nil {
			return unknownAge
		}
		return m.MaxRelayAge().Seconds()
	})
	e.Stats.Gauge(stats.Room, e.jitter.Room)
	e.Stats.Gauge(stats.LeaseLeft, func() float64 { return e.tenure.LeaseLeft().Seconds() })
	e.Stats.Gauge(stats.Engines, func() float64 { return float64(len(e.tenure.OwnedEngines())) })
	e.Stats.Gauge(stats.Upstreams, func() float64 { return float64(len(e.intake.View().Targets)) })
	e.Stats.Gauge(stats.Unreached, func() float64 { return e.reach.CutFor().Seconds() })
	e.Stats.Gauge(stats.Passed, func() float64 { return float64(e.forwardedConns.Load()) })
	e.Stats.Gauge(stats.Hosts, func() float64 {
		m := e.mates.Load()
		if m == nil {
			return 0
		}
		return float64(len(m.Serving()))
	})
}

// showRetries registers how near a group is to its bound of retries.
func (e *Edge) showRetries(group string) {
	read := func(part func(used, bound, extra float64, hosts int) float64) func() float64 {
		return func() float64 { return part(e.spare.Usage(group)) }
	}
	e.Stats.Gauge(stats.RetryUsed, read(func(used, _, _ float64, _ int) float64 { return used }), "group", group)
	e.Stats.Gauge(stats.RetryBound, read(func(_, bound, _ float64, _ int) float64 { return bound }), "group", group)
	e.Stats.Gauge(stats.RetryExtra, read(func(_, _, extra float64, _ int) float64 { return extra }), "group", group)
	e.Stats.Gauge(stats.RetryHosts, read(func(_, _, _ float64, hosts int) float64 { return float64(hosts) }), "group", group)
	e.Stats.Gauge(stats.RetryLate, func() float64 { return float64(e.spare.Late(group)) }, "group", group)
	e.Stats.Gauge(stats.RetryBase, func() float64 {
		last, _ := e.spare.Requests(group)
		return float64(last)
	}, "group", group)
}

// withMetrics wraps the store to time and count its calls by row group.
func withMetrics(t table.Table, s *stats.Stats) table.Table {
	note := func(call, key string, start time.Time, err error) {
		group, _, _ := strings.Cut(key, "/")
		s.Time(stats.Store, time.Since(start), "call", call, "rows", group)
		if err != nil {
			s.Add(stats.StoreFails, 1, "call", call, "rows", group, "error", errorLabel(err))
		}
	}
	return table.Table{
		Read: func(ctx context.Context, key string) (rows.Row, error) {
			start := time.Now()
			row, err := t.Read(ctx, key)
			note("read", key, start, err)
			return row, err
		},
		List: func(ctx context.Context, prefix string) ([]rows.Row, int64, error) {
			start := time.Now()
			list, rev, err := t.List(ctx, prefix)
			note("list", prefix, start, err)
			return list, rev, err
		},
		First: func(ctx context.Context, prefix string, limit int) ([]rows.Row, int64, bool, error) {
			start := time.Now()
			list, rev, more, err := t.First(ctx, prefix, limit)
			note("first", prefix, start, err)
			return list, rev, more, err
		},
		Write: func(ctx context.Context, edits ...rows.Row) (int64, error) {
			start := time.Now()
			rev, err := t.Write(ctx, edits...)
			note("write", edits[0].Key, start, err)
			return rev, err
		},
		Tail: func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error) {
			start := time.Now()
			list, rev, err := t.Tail(ctx, prefix, after)
			note("tail", prefix, start, err)
			return list, rev, err
		},
	}
}

// errorLabel returns the metric label of a store error.
func errorLabel(err error) string {
	names := map[string]error{
		"conflict": table.ErrConflict, "down": table.ErrDown, "absent": table.ErrAbsent, "compacted": table.ErrCompacted,
		"invalid": table.ErrInvalid,
	}
	for name, known := range names {
		if errors.Is(err, known) {
			return name
		}
	}
	return "lost"
}
