package engsim

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"damaskreach/internal/engine"

	"github.com/ansel1/merry/v2"
)

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("POST "+engine.PathLoad, e.serveLoad)
	mux.HandleFunc("POST "+engine.PathUnload, e.serveUnload)
	mux.HandleFunc("GET "+engine.PathReport, e.serveReport)
	mux.HandleFunc("GET /events", e.serveEvents)
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, e.Records()) })
	mux.HandleFunc("GET /breaches", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, e.Breaches()) })
	return mux
}

// ServeHTTP answers one request; while the engine is down it cuts the connection.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, up := e.current(); !up {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// current returns the present boot and whether it accepts requests yet.
func (e *Engine) current() (*boot, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot, !time.Now().Before(e.boot.up)
}

// Run serves connections of the listeners that listen returns until ctx ends.
// After a crash nothing listens until the restart, so that dials are refused.
func (e *Engine) Run(ctx context.Context, listen func() (net.Listener, error)) error {
	defer context.AfterFunc(ctx, e.stop)()
	for ctx.Err() == nil {
		b, _ := e.current()
		if !pause(b, time.Until(b.up)) {
			continue
		}
		lis, err := listen()
		if err != nil {
			return merry.Prepend(err, "listening as an engine")
		}
		serve(b, lis, e)
	}
	return nil
}

// serve answers the connections of lis until the boot ends, and then cuts them all.
func serve(b *boot, lis net.Listener, h http.Handler) {
	server := &http.Server{Handler: h}
	stop := context.AfterFunc(b.ctx, func() { server.Close() })
	defer stop()
	server.Serve(lis)
	server.Close()
}

// stop ends the present boot for good.
func (e *Engine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
	e.boot.cancel()
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
