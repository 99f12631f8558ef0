package engsim

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"

	"damaskreach/internal/engine"
	"damaskreach/internal/stand/recrd"
)

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("POST "+engine.PathLoad, e.serveLoad)
	mux.HandleFunc("POST "+engine.PathUnload, e.serveUnload)
	mux.HandleFunc("GET "+engine.PathReport, e.serveReport)
	mux.HandleFunc("GET /events", e.serveEvents)
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) { recrd.Serve(w, e.Records()) })
	mux.HandleFunc("GET /breaches", func(w http.ResponseWriter, _ *http.Request) { recrd.Serve(w, e.Breaches()) })
	return mux
}

// ServeHTTP answers one request; while the engine is down it cuts the connection.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !e.power.Up() {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// Run serves on the listeners that listen returns until ctx ends.
// After a crash nothing listens until the restart, so that dials are refused.
func (e *Engine) Run(ctx context.Context, listen func() (net.Listener, error)) error {
	return e.power.Run(ctx, listen, e)
}

type fault struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    int    `json:"code"`
}

type failure struct {
	Error fault `json:"error"`
}

func refuse(w http.ResponseWriter, status int, kind, text string) {
	reply(w, status, failure{Error: fault{Message: text, Type: kind, Code: status}})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

// query reads a decimal parameter; one that is absent or malformed counts as 0.
func query(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
