package edge

import (
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/lookup"
	"damaskreach/internal/mate"
)

const (
	// lookupTTL is how long callers may cache the answer to a lookup. It bounds how long a host that is leaving or dead still gets new
	// connections.
	lookupTTL = 2 * time.Second
	// headerTimeout bounds how long a caller may take to send its headers if the configuration has no bound.
	headerTimeout = 10 * time.Second
)

// listen opens the ports and serves on them. It returns the listener for callers, and a channel that receives the error of a server that
// ends.
func (e *Edge) listen(handler http.Handler) (callers net.Listener, failed <-chan error, err error) {
	s := e.Setup()
	servers := []struct {
		addr   string
		server *http.Server
	}{
		{s.Callers, e.callerServer(handler)},
		{s.Lookup, &http.Server{Handler: e.Lookup(e.lookupAddrs), ReadHeaderTimeout: headerTimeout}},
		{s.Ready, &http.Server{Handler: e.Ready(e.ready), ReadHeaderTimeout: headerTimeout}},
		{s.Metrics, &http.Server{Handler: http.HandlerFunc(e.serveMetrics), ReadHeaderTimeout: headerTimeout}},
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
			l = e.conns.Follow(l)
			callers = l
		}
		go func() { ended <- part.server.Serve(l) }()
	}
	return callers, ended, nil
}

// callerServer returns the server for callers, whose connections are tracked.
func (e *Edge) callerServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: e.trackConns(handler), ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(e.Log.Named("callers")),
		ConnContext: e.conns.Context, ConnState: e.conns.State,
	}
}

// trackConns keeps a request's connection from being closed as idle, and has callers of a leaving host connect elsewhere.
func (e *Edge) trackConns(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.conns.Enter(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		if e.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Edge) ready() bool {
	v := e.intake.View()
	return !e.leaving.Load() && v.HasRules() && len(v.Targets) > 0
}

// lookupAddrs returns the addresses of serving hosts for callers in a data centre.
func (e *Edge) lookupAddrs(centre string) ([]string, time.Duration) {
	s := e.Setup()
	var hosts []mate.Mate
	if e.ready() {
		hosts = append(hosts, s.Mate())
	}
	if m := e.mates.Load(); m != nil {
		for _, h := range m.Serving() {
			hosts = append(hosts, h)
		}
	}
	var addrs []string
	for _, h := range lookup.Hosts(hosts, centre) {
		addrs = append(addrs, h.CallerAddr)
	}
	return addrs, min(lookupTTL, s.Life)
}
