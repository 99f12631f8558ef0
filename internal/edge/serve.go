package edge

import (
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// listen opens the ports and serves on them. It returns the listener for callers, and a channel that gets the error of a
// server that ends.
func (e *Edge) listen(handler http.Handler) (callers net.Listener, failed <-chan error, err error) {
	s := e.Setup()
	servers := []struct {
		addr   string
		server *http.Server
	}{
		{s.Callers, e.forCallers(handler)},
		{s.Lookup, &http.Server{Handler: e.Lookup(e.names), ReadHeaderTimeout: readTimeout}},
		{s.Ready, &http.Server{Handler: e.Ready(e.ready), ReadHeaderTimeout: readTimeout}},
		{s.Metrics, &http.Server{Handler: http.HandlerFunc(e.metrics), ReadHeaderTimeout: readTimeout}},
	}
	ended := make(chan error, len(servers))
	for i, part := range servers {
		if part.addr == "" {
			continue
		}
		l, err := e.Listen(part.addr)
		if err != nil {
			return nil, nil, err
		}
		if i == 0 {
			callers = l
		}
		go func() { ended <- part.server.Serve(l) }()
	}
	return callers, ended, nil
}

// forCallers returns the server for callers, whose connections are followed.
func (e *Edge) forCallers(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: e.follow(handler), ReadHeaderTimeout: readTimeout, ErrorLog: zap.NewStdLog(e.Log.Named("callers")),
		ConnContext: e.conns.Context,
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateClosed || state == http.StateHijacked {
				e.conns.Gone(c)
			}
		},
	}
}

// follow keeps a request's connection from being closed as idle, and tells callers of a leaving host to go elsewhere.
func (e *Edge) follow(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		done, ok := e.conns.Enter(r.Context())
		if !ok {
			panic(http.ErrAbortHandler)
		}
		defer done()
		if e.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// late reports whether a request that comes now may not end before the host does. Streams run for seconds; a caller whose
// stream began before the signal may send its next request on the same connection at any time.
func (e *Edge) late() bool {
	if !e.leaving.Load() {
		return false
	}
	return time.Since(time.Unix(0, e.leftAt.Load())) > min(stayFor, e.Setup().Grace/3)+leastIdle
}

// leave takes the host out of lookups, serves on while callers keep their answers, and waits for requests under way.
func (e *Edge) leave(callers net.Listener) {
	began := time.Now()
	grace := e.Setup().Grace - endSlack
	e.leftAt.Store(began.UnixNano())
	e.leaving.Store(true)
	e.Log.Info("leaving", zap.Duration("grace", grace))
	time.Sleep(min(stayFor, grace/3))
	if err := callers.Close(); err != nil {
		e.Log.Debug("port for callers not closed", zap.Error(err))
	}
	left := 1
	for left > 0 && time.Since(began) < grace {
		left = e.conns.CloseIdle(leastIdle)
		time.Sleep(leastIdle)
	}
	e.Log.Info("stopped", zap.Duration("after", time.Since(began)), zap.Int("connections", left))
}
