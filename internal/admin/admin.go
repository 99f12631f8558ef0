// Package admin serves operators: status, explanations, metrics and draining.
package admin

import (
	"context"
	"encoding/json"
	"net/http"

	"damaskreach/internal/catlog"
	"damaskreach/internal/digest"
	"damaskreach/internal/event"
	"damaskreach/internal/meter"
	"damaskreach/internal/prom"
	"damaskreach/internal/query"
	"damaskreach/internal/sess"
)

// Admin is the operators' side of a node. The fields are set before Handler.
type Admin struct {
	// Session returns this node's session.
	Session func() sess.Session
	// Nodes returns the live sessions this node knows of.
	Nodes func() []sess.Session
	// Digests returns the digests of the runners this node owns.
	Digests func() []digest.Digest
	// Catalog returns the configuration in force.
	Catalog func() catlog.Catalog
	// Drain starts a graceful shutdown.
	Drain func()
	// Explain returns the decisions of all nodes that a query matches, and who did not answer.
	Explain func(ctx context.Context, q query.Query) (events []event.Event, silent []string)
	// Operators returns the SHA-256 of the operators' keys in hexadecimal.
	Operators func() []string
	Meter     *meter.Meter
}

// Handler returns the operators' routes. Reading needs a key only where the settings name any; changing always does.
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", a.reading(a.serveStatus))
	mux.HandleFunc("GET /explain", a.reading(a.serveExplain))
	mux.HandleFunc("GET /metrics", a.reading(a.serveMetrics))
	mux.HandleFunc("GET /{$}", a.reading(a.servePage))
	mux.HandleFunc("POST /drain", a.changing(a.serveDrain))
	return mux
}

func (a *Admin) serveDrain(w http.ResponseWriter, _ *http.Request) {
	a.Drain()
	w.WriteHeader(http.StatusAccepted)
}

func (a *Admin) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", prom.Kind)
	_ = a.Meter.Write(w) // the scraper may be gone
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the operator may be gone
}
