package entry

import (
	"net/http"
	"sync/atomic"
)

// active counts requests in progress, for a graceful shutdown.
type active struct {
	count atomic.Int64
}

// Active returns how many requests are in progress.
func (e *Entry) Active() int {
	return int(e.active.count.Load())
}

func (e *Entry) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.active.count.Add(1)
		defer e.active.count.Add(-1)
		if id := r.Header.Get(HeaderRequest); id != "" && len(id) <= mostHeader {
			w.Header().Set(HeaderRequest, id)
		}
		next.ServeHTTP(w, r)
	})
}
