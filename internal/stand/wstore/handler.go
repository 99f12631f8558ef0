package wstore

import (
	"net/http"

	"damaskreach/internal/stand/admin"
	"damaskreach/internal/stand/recrd"
)

// Handler serves the store's records and faults over HTTP, for tests in another process.
//
//	GET  /records                    every load that was asked for
//	POST /admin/fail?count=N         FailLoads
//	POST /admin/slow?factor=N        Slow
//	POST /admin/down?on=BOOL         Down
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) { recrd.Serve(w, s.Records()) })
	admin.Handle(mux, "fail", func(q *admin.Query) func() {
		count := q.Int("count")
		return func() { s.FailLoads(count) }
	})
	admin.Handle(mux, "slow", func(q *admin.Query) func() {
		factor := max(q.Int("factor"), 1)
		return func() { s.Slow(float64(factor)) }
	})
	admin.Handle(mux, "down", func(q *admin.Query) func() {
		on := q.Bool("on")
		return func() { s.Down(on) }
	})
	return mux
}
