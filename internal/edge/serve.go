package edge

import (
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/conns"
	"damaskreach/internal/lookup"
	"damaskreach/internal/mate"
	"damaskreach/internal/unread"
)

const (
	// lookupTTL is how long callers may cache the answer to a lookup. It bounds how long a host that is leaving or dead still gets new
	// connections.
	lookupTTL = 2 * time.Second
	// headerTimeout bounds how long a caller may take to send its headers if the configuration has no bound.
	headerTimeout = 10 * time.Second
)

// port is an address on which the host listens, and what it serves there.
type port struct {
	addr    string // empty for none
	handler http.Handler
	conns   *conns.Conns
}

// listen opens the ports and serves on them. It returns the listener for callers, and a channel that receives the error of a server that
// ends.
func (e *Edge) listen(handler http.Handler) (callers net.Listener, failed <-chan error, err error) {
	s := e.Setup()
	ports := []port{
		{s.Callers, e.leaveCallers(handler), &e.conns},
		{s.Lookup, bounded(e.Lookup(e.lookupAddrs)), &e.lookups},
		{s.Ready, bounded(e.Ready(e.ready)), &e.probes},
		{s.Metrics, bounded(http.HandlerFunc(e.serveMetrics)), &e.scrapes},
	}
	ended := make(chan error, len(ports))
	for i, p := range ports {
		if p.addr == "" {
			continue
		}
		l, err := e.Listen(p.addr)
		if err != nil {
			return nil, nil, err
		}
		if err := unread.Limit(l, conns.NarrowUnread); err != nil {
			e.Log.Warn("unread bytes not bounded", zap.String("addr", p.addr), zap.Error(err))
		}
		l = p.conns.Follow(l)
		if i == 0 {
			callers = l
		}
		server := e.server(p, s.Head)
		go func() { ended <- server.Serve(l) }()
	}
	return callers, ended, nil
}

// server returns the server of a port, whose connections are followed.
func (e *Edge) server(p port, maxHead int) *http.Server {
	return &http.Server{
		Handler: enter(p.conns, p.handler), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHead, ErrorLog: zap.NewStdLog(e.Log.Named("callers")),
		ConnContext: p.conns.Context, ConnState: p.conns.State,
	}
}

// enter keeps a request's connection from being closed as idle.
func enter(c *conns.Conns, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !c.Enter(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// leaveCallers has callers of a leaving host connect elsewhere.
func (e *Edge) leaveCallers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// bounded bounds the time in which a body must come where none is expected. The server reads it before it answers, and would wait for the rest for ever.
func bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			// An error means that the caller has disconnected.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(headerTimeout))
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
