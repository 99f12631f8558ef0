package admin

import (
	"net/http"

	"damaskreach/internal/digest"
	"damaskreach/internal/sess"
	"damaskreach/internal/totals"
)

type status struct {
	Node     string           `json:"node"`
	Session  sess.Session     `json:"session"`
	Rev      int64            `json:"rev"`      // highest configuration revision seen
	Complete int64            `json:"complete"` // every configuration change up to it is in force
	Rejected []string         `json:"rejected"`
	Known    int              `json:"known"`    // runners in the table
	Runners  totals.Totals    `json:"totals"`   // of the runners this node owns
	Refusals map[string]int64 `json:"refusals"` // since the node's start, by code
	Ill      []digest.Digest  `json:"ill,omitempty"`
	Nodes    []sess.Session   `json:"nodes,omitempty"`
	Digests  []digest.Digest  `json:"runners,omitempty"`
}

// serveStatus answers with the node's state; ?short leaves out what it knows of nodes and of runners that are well.
// An operator's tool that asks 1,300 nodes again and again would else be sent 1,300 lists of 1,300 nodes.
func (a *Admin) serveStatus(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, a.status(r.URL.Query().Has("short")))
}

func (a *Admin) status(short bool) status {
	catalog := a.Catalog()
	s := status{
		Node:     a.Session().Node,
		Session:  a.Session(),
		Rev:      catalog.Rev(),
		Complete: catalog.Complete(),
		Rejected: []string{},
		Known:    len(catalog.AllRunners()),
		Refusals: a.Meter.Refusals(),
	}
	digests := a.Digests()
	for _, d := range digests {
		s.Runners = s.Runners.With(d)
		if d.Sick || d.Closed {
			s.Ill = append(s.Ill, d)
		}
	}
	if !short {
		s.Nodes = a.Nodes()
		s.Digests = digests
	}
	for _, f := range catalog.Rejected() {
		s.Rejected = append(s.Rejected, f.Error())
	}
	return s
}
