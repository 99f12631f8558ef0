package gate

import (
	"net"
	"net/http"

	"damaskreach/internal/stand/admin"
)

// Admin adds the paths that set the gate's faults to mux:
//
//	POST /admin/down?on=true              refuse all calls
//	POST /admin/slow?by=2s                let each call take longer
//	POST /admin/lose?count=3              lose the answers of the next writes
//	POST /admin/cut?client=IP&on=true     cut a client off
//	POST /admin/rates?writes=300&reads=2000
func (g *Gate) Admin(mux *http.ServeMux) {
	admin.Handle(mux, "down", func(q *admin.Query) func() {
		on := q.Bool("on")
		return func() { g.SetDown(on) }
	})
	admin.Handle(mux, "slow", func(q *admin.Query) func() {
		by := q.Duration("by")
		return func() { g.SetSlow(by) }
	})
	admin.Handle(mux, "lose", func(q *admin.Query) func() {
		count := q.Int("count")
		return func() { g.LoseAnswers(count) }
	})
	admin.Handle(mux, "cut", func(q *admin.Query) func() {
		client, on := q.Text("client"), q.Bool("on")
		return func() { g.CutClient(client, on) }
	})
	admin.Handle(mux, "rates", func(q *admin.Query) func() {
		writes, reads := q.Int("writes"), q.Int("reads")
		return func() { g.SetRates(writes, reads) }
	})
}

// Client returns the name by which CutClient knows the sender of a request: its IP.
func Client(r *http.Request) string {
	ip, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return ip
}
