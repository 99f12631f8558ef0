package objdb

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/object"
	"damaskreach/internal/stand/gate"
)

// Handler serves the store over HTTP. The client that CutClient names is the caller's IP.
//
//	PUT /v1/object?name=N   write the body; 204
//	GET /v1/object?name=N   read it; 404 with object.TextAbsent where there is none
//
// 400 means malformed and 503 not taken. An answer that is lost shows as a connection that breaks off.
// Faults are set by the paths of gate.Gate.
func (d *DB) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/object", d.servePut)
	mux.HandleFunc("GET /v1/object", d.serveGet)
	d.Admin(mux)
	return mux
}

func (d *DB) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, object.MostData))
	if err != nil {
		fail(w, merry.Appendf(object.ErrInvalid, "reading the body: %v", err))
		return
	}
	err = d.ObjectFor(gate.Client(r)).Put(r.Context(), r.URL.Query().Get("name"), data)
	if err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (d *DB) serveGet(w http.ResponseWriter, r *http.Request) {
	data, err := d.ObjectFor(gate.Client(r)).Get(r.Context(), r.URL.Query().Get("name"))
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data) // a caller that went away needs no answer
}

func fail(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, object.ErrAbsent):
		w.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(w, object.TextAbsent)
	case errors.Is(err, object.ErrInvalid):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case errors.Is(err, object.ErrDown):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler) // the server breaks the connection off without an answer
	}
}
