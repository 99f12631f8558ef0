// Package admin serves operators: status, explanations and draining.
package admin

import (
	"encoding/json"
	"net/http"

	"damaskreach/internal/audit"
	"damaskreach/internal/catlog"
	"damaskreach/internal/digest"
	"damaskreach/internal/meter"
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
	Audit *audit.Audit
	Meter *meter.Meter
}

type status struct {
	Node     string          `json:"node"`
	Session  sess.Session    `json:"session"`
	Rev      int64           `json:"rev"`      // highest configuration revision seen
	Complete int64           `json:"complete"` // every configuration change up to it is in force
	Rejected []string        `json:"rejected"`
	Nodes    []sess.Session  `json:"nodes,omitempty"`
	Runners  []digest.Digest `json:"runners,omitempty"`
}

// Handler returns the operators' routes.
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", a.serveStatus)
	mux.HandleFunc("GET /explain", a.serveExplain)
	mux.HandleFunc("GET /metrics", a.serveMetrics)
	mux.HandleFunc("POST /drain", a.serveDrain)
	return mux
}

// serveStatus answers with the node's state; ?short leaves out what it knows of nodes and runners.
// An operator's tool that asks 1,300 nodes again and again would else be sent 1,300 lists of 1,300 nodes.
func (a *Admin) serveStatus(w http.ResponseWriter, r *http.Request) {
	catalog := a.Catalog()
	s := status{
		Node:     a.Session().Node,
		Session:  a.Session(),
		Rev:      catalog.Rev(),
		Complete: catalog.Complete(),
		Rejected: []string{},
	}
	if !r.URL.Query().Has("short") {
		s.Nodes = a.Nodes()
		s.Runners = a.Digests()
	}
	for _, f := range catalog.Rejected() {
		s.Rejected = append(s.Rejected, f.Error())
	}
	writeJSON(w, s)
}

// serveExplain answers with the decisions about a request, model or runner, one plain sentence each.
func (a *Admin) serveExplain(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, a.Audit.Find(r.URL.Query().Get("about")))
}

func (a *Admin) serveDrain(w http.ResponseWriter, _ *http.Request) {
	a.Drain()
	w.WriteHeader(http.StatusAccepted)
}

func (a *Admin) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", meter.Kind)
	_ = a.Meter.Write(w) // the scraper may be gone
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the operator may be gone
}
