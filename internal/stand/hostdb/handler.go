package hostdb

import (
	"encoding/json"
	"net/http"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/host"
	"damaskreach/internal/stand/admin"
	"damaskreach/internal/stand/gate"
)

// Handler serves the list over HTTP and JSON. The client that CutClient names is the caller's IP.
//
//	GET /v1/hosts   a list of host.Host; 503 where the service is down
//
// Beside the paths of gate.Gate, the list is set by
//
//	POST /admin/host?addr=IP&centre=C&state=live|leaving|gone   record the true state of a host
//	POST /admin/lie?addr=IP&state=live|leaving|gone|none        show a host in a false state
//	POST /admin/lag?by=30s                                      show changes late
func (d *DB) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", d.serve)
	d.Admin(mux)
	admin.Handle(mux, "host", d.adminHost)
	admin.Handle(mux, "lie", d.adminLie)
	admin.Handle(mux, "lag", func(q *admin.Query) func() {
		by := q.Duration("by")
		return func() { d.SetLag(by) }
	})
	return mux
}

func (d *DB) serve(w http.ResponseWriter, r *http.Request) {
	list, err := d.HostsFor(gate.Client(r)).List(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if list == nil {
		list = []host.Host{} // an empty list is JSON's [], not null
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // a caller that went away needs no answer
}

func (d *DB) adminHost(q *admin.Query) func() {
	h := host.Host{Addr: q.Text("addr"), Centre: q.Text("centre"), State: q.Text("state")}
	if !h.Valid() {
		q.Fail(merry.Errorf("unknown state %q", h.State))
	}
	return func() { d.Set(h) }
}

const stateTrue = "none" // ends a lie

func (d *DB) adminLie(q *admin.Query) func() {
	addr, state := q.Text("addr"), q.Text("state")
	if state == stateTrue {
		return func() { d.Lie(addr, "") }
	}
	if !(host.Host{Addr: addr, State: state}).Valid() {
		q.Fail(merry.Errorf("unknown state %q", state))
	}
	return func() { d.Lie(addr, state) }
}
