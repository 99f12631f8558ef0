package rowdb

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/reply"
	"damaskreach/internal/rows"
	"damaskreach/internal/stand/admin"
	"damaskreach/internal/stand/gate"
	"damaskreach/internal/table"
)

const mostBody = 16 << 20 // bytes of a write

// Handler serves the table over HTTP and JSON. The client that CutClient names is the caller's IP.
//
//	GET  /v1/row?key=K             one row, or 404
//	GET  /v1/rows?prefix=P         the rows under a prefix
//	GET  /v1/tail?prefix=P&after=N the rows changed after a revision
//	POST /v1/write                 a JSON list of edits; 409 names the keys in conflict
//
// Every answer is a reply.Reply; 400 means malformed and 503 not taken.
// An answer that is lost shows as a connection that breaks off. Beside the paths of gate.Gate, faults are set by
//
//	POST /admin/lag?by=5s&every=2  send each second reading to a replica behind by 5 s
//	POST /admin/history?count=100  remember so many deletions
//	POST /admin/copy?age=5s        come back from a copy of 5 s ago, in a new era
func (d *DB) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/row", d.serve(serveRow))
	mux.HandleFunc("GET /v1/rows", d.serve(serveRows))
	mux.HandleFunc("GET /v1/tail", d.serve(serveTail))
	mux.HandleFunc("POST /v1/write", d.serve(serveWrite))
	d.Admin(mux)
	admin.Handle(mux, "lag", func(q *admin.Query) func() {
		by, every := q.Duration("by"), q.Int("every")
		return func() { d.SetLag(by, every) }
	})
	admin.Handle(mux, "history", func(q *admin.Query) func() {
		count := q.Int("count")
		return func() { d.SetHistory(count) }
	})
	admin.Handle(mux, "copy", func(q *admin.Query) func() {
		age := q.Duration("age")
		return func() { d.ComeBack(age) }
	})
	return mux
}

type operation func(ctx context.Context, t table.Table, r *http.Request) (reply.Reply, error)

func (d *DB) serve(op operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, mostBody)
		body, err := op(r.Context(), d.TableFor(gate.Client(r)), r)
		respond(w, body, err)
	}
}

func serveRow(ctx context.Context, t table.Table, r *http.Request) (reply.Reply, error) {
	row, err := t.Read(ctx, r.FormValue("key"))
	if err != nil {
		return reply.Reply{}, err
	}
	return reply.Reply{Rows: []rows.Row{row}, Rev: row.Rev}, nil
}

func serveRows(ctx context.Context, t table.Table, r *http.Request) (reply.Reply, error) {
	found, rev, err := t.List(ctx, r.FormValue("prefix"))
	return reply.Reply{Rows: found, Rev: rev}, err
}

func serveTail(ctx context.Context, t table.Table, r *http.Request) (reply.Reply, error) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if err != nil {
		return reply.Reply{}, merry.Appendf(table.ErrInvalid, "after: %v", err)
	}
	found, rev, err := t.Tail(ctx, r.FormValue("prefix"), after)
	body := reply.Reply{Rows: found, Rev: rev, Whole: errors.Is(err, table.ErrCompacted)}
	if body.Whole {
		err = nil
	}
	return body, err
}

func serveWrite(ctx context.Context, t table.Table, r *http.Request) (reply.Reply, error) {
	var edits []rows.Row
	if err := json.NewDecoder(r.Body).Decode(&edits); err != nil {
		return reply.Reply{}, merry.Appendf(table.ErrInvalid, "edits: %v", err)
	}
	rev, err := t.Write(ctx, edits...)
	return reply.Reply{Rev: rev}, err
}

func respond(w http.ResponseWriter, body reply.Reply, err error) {
	if errors.Is(err, table.ErrLost) {
		panic(http.ErrAbortHandler) // the server breaks the connection off without an answer
	}
	status := http.StatusOK
	if err != nil {
		status = statusOf(err)
		body = reply.Reply{Text: err.Error(), Keys: table.Conflicts(err)}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that went away needs no answer
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, table.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, table.ErrAbsent):
		return http.StatusNotFound
	case errors.Is(err, table.ErrInvalid):
		return http.StatusBadRequest
	case errors.Is(err, table.ErrDown):
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}
