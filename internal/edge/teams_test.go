//go:build !race

package edge_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"damaskreach/internal/apikey"
	"damaskreach/internal/demand"
	"damaskreach/internal/doubt"
	"damaskreach/internal/edge"
	"damaskreach/internal/kinds"
	"damaskreach/internal/notice"
	"damaskreach/internal/pool"
	"damaskreach/internal/route"
	"damaskreach/internal/rows"
	"damaskreach/internal/rules"
	"damaskreach/internal/setup"
	"damaskreach/internal/table"
	"damaskreach/internal/team"
)

const (
	upstreamAddr = "10.9.9.9:80"
	callerIP     = "10.8.0.1"
	headID       = "Fake-Id"
	headKey      = "Fake-Key"
	headUnits    = "Fake-Units"
	headTeam     = "Fake-Team"
	headFor      = "Fake-For"  // upstream that the request is for
	headFrom     = "Fake-From" // host that sends it
	headLimit    = "Fake-Most" // requests a second that the upstream accepts
	headLeaving  = "Fake-Leaving"
	// pauseDuration is how long upstreams that reject requests ask for a pause.
	pauseDuration = 3 * time.Second
	headPause     = "Fake-Rest" // pause that the upstream asks for
)

// execution is one request as an upstream ran it.
type execution struct {
	sent       time.Time // by its caller
	at         time.Time
	team       string
	units      float64
	upstream   string
	host       string // that sent it
	limitNamed bool   // in the answer
	leaving    bool   // announced in the answer
	askedPause bool   // rejected with a pause
}

// callResult is the answer to one request.
type callResult struct {
	sent   time.Time
	host   string
	team   string
	units  float64
	status int
	took   time.Duration
}

// teamFleet is a fleet whose callers belong to teams with limits.
type teamFleet struct {
	*fleet
	ctx   context.Context
	teams func(version int64) []team.Team // in each version of the configuration

	mu          sync.Mutex
	executions  []execution
	results     []callResult
	sentAt      map[string]time.Time
	processes   map[string]*process
	engines     bool              // the upstreams take orders
	serviceTime time.Duration     // of a request at an upstream
	inFlight    map[string]int    // requests at each upstream
	peak        map[string]int    // maximum of inFlight
	selfLimits  map[string]string // limit that each upstream names
	leavingIDs  map[string]bool   // upstreams that announce that they leave
	sheddingIDs map[string]bool   // upstreams that reject requests
}

// process is one run of the program on a host.
type process struct {
	dead bool // killed: nothing of it reaches the network or the store any more
}

func newTeamFleet(t *testing.T, hosts, centres, upstreams int, teams func(version int64) []team.Team) *teamFleet {
	return newTeamFleetOf(t, hosts, centres, upstreams, teams, func(*edge.Edge, *setup.Setup) {})
}

// newTeamFleetOf is newTeamFleet with a function that changes each host before it starts.
func newTeamFleetOf(
	t *testing.T, hosts, centres, upstreams int, teams func(version int64) []team.Team, adapt func(e *edge.Edge, s *setup.Setup),
) *teamFleet {
	p := &teamFleet{
		teams: teams, sentAt: map[string]time.Time{}, processes: map[string]*process{}, selfLimits: map[string]string{},
		inFlight: map[string]int{}, peak: map[string]int{}, leavingIDs: map[string]bool{}, sheddingIDs: map[string]bool{}, ctx: t.Context(),
	}
	p.fleet = newFleetOf(t, hosts, centres, upstreams, func(e *edge.Edge, s *setup.Setup) (killed func() bool) {
		killed = p.adapt(e, s)
		adapt(e, s)
		return killed
	})
	p.serveAt(t, upstreamAddr, p.serveUpstream)
	return p
}

// serveAt serves an address until the test ends.
func (p *teamFleet) serveAt(t *testing.T, addr string, handler http.HandlerFunc) {
	t.Helper()
	l, err := p.net.Listen(addr)
	if err != nil {
		t.Fatalf("Listen(%q) = %v, want nil", addr, err)
	}
	server := &http.Server{Handler: handler}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
}

// adapt makes a host decode the test's own requests, and allows it to be killed.
func (p *teamFleet) adapt(e *edge.Edge, s *setup.Setup) (killed func() bool) {
	now := &process{}
	p.mu.Lock()
	p.processes[s.IP] = now
	p.mu.Unlock()
	e.DecodeRules = p.rules
	e.DecodeRequest = func(r *http.Request) (demand.Demand, error) {
		units, err := strconv.Atoi(r.Header.Get(headUnits))
		return demand.Demand{
			ID: r.Header.Get(headID), Method: r.Method, Host: r.Host, URI: r.RequestURI, Header: r.Header.Clone(), Prompt: units,
			Key: apikey.NewKey(r.Header.Get(headKey)), Wait: 1500 * time.Millisecond,
		}, err
	}
	e.TeamHeaders = func(h http.Header, team string) http.Header {
		next := h.Clone()
		next.Del(headKey)
		next.Set(headTeam, team)
		return next
	}
	ip := s.IP
	e.UpstreamHeaders = func(id string, _ time.Duration, _ int, _ string) http.Header {
		return http.Header{headFor: {id}, headFrom: {ip}}
	}
	e.NotRun = func(_ http.Header, _ int, h http.Header) (bool, doubt.Doubt) {
		return h.Get(headPause) != "", doubt.None
	}
	e.DecodeNotice = decodeNotice
	e.AnswerID = func(h http.Header) string { return h.Get(headID) }
	dial := e.Dial
	e.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if p.isDead(now) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return dial(ctx, addr)
	}
	e.Table = p.mortalTable(e.Table, now)
	return func() bool { return p.isDead(now) }
}

func (p *teamFleet) isDead(l *process) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return l.dead
}

// mortalTable returns the store as one process reaches it.
func (p *teamFleet) mortalTable(t table.Table, l *process) table.Table {
	list, write, tail, read, first := t.List, t.Write, t.Tail, t.Read, t.First
	t.First = func(ctx context.Context, prefix string, limit int) ([]rows.Row, int64, bool, error) {
		if p.isDead(l) {
			return nil, 0, false, table.ErrDown
		}
		return first(ctx, prefix, limit)
	}
	t.List = func(ctx context.Context, prefix string) ([]rows.Row, int64, error) {
		if p.isDead(l) {
			return nil, 0, table.ErrDown
		}
		return list(ctx, prefix)
	}
	t.Tail = func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error) {
		if p.isDead(l) {
			return nil, 0, table.ErrDown
		}
		return tail(ctx, prefix, after)
	}
	t.Read = func(ctx context.Context, key string) (rows.Row, error) {
		if p.isDead(l) {
			return rows.Row{}, table.ErrDown
		}
		return read(ctx, key)
	}
	t.Write = func(ctx context.Context, edits ...rows.Row) (int64, error) {
		if p.isDead(l) {
			return 0, table.ErrDown
		}
		return write(ctx, edits...)
	}
	return t
}

// rules decodes a configuration, whose row holds only a version.
func (p *teamFleet) rules(row rows.Row) (rules.Rules, bool, error) {
	version, err := strconv.ParseInt(string(row.Value), 10, 64)
	r := rules.Rules{
		Version: version, Guarded: true, Teams: map[string]team.Team{}, Keys: map[apikey.Key]string{},
		Pools: map[string]pool.Pool{"g": {Name: "g", MaxConns: 5000}},
		Routes: map[string][]route.Route{"a.example": {{
			Name: "r", Host: "a.example", Prefix: "/", Kind: kinds.Once, Groups: []string{"g"}, Weights: []int{1}, Target: 300 * time.Millisecond,
			Timeout: 1500 * time.Millisecond, Attempts: 1,
		}}},
	}
	for _, t := range p.teams(version) {
		r.Teams[t.Name] = t
		r.Keys[apikey.NewKey("key of "+t.Name)] = t.Name
	}
	return r, true, err
}

// decodeNotice decodes what an upstream reports of itself.
func decodeNotice(_ int, h http.Header) (n notice.Notice, err error) {
	n.Leaving = h.Get(headLeaving) != ""
	if text := h.Get(headPause); text != "" {
		n.Rest, err = time.ParseDuration(text)
		return n, err
	}
	if text := h.Get(headLimit); text != "" {
		n.Limited = true
		n.Limit, err = strconv.ParseFloat(text, 64)
	}
	return n, err
}

// serveUpstream is the handler of the upstreams, which run every request.
func (p *teamFleet) serveUpstream(w http.ResponseWriter, r *http.Request) {
	id, name := r.Header.Get(headID), r.Header.Get(headTeam)
	units, err := strconv.ParseFloat(r.Header.Get(headUnits), 64)
	if err != nil || r.Header.Get(headKey) != "" {
		p.t.Errorf("request %s with units %v and key %q, want no key", id, err, r.Header.Get(headKey))
	}
	to := r.Header.Get(headFor)
	p.mu.Lock()
	limit, limited := p.selfLimits[to]
	p.executions = append(p.executions, execution{
		sent: p.sentAt[id], at: time.Now(), team: name, units: units, upstream: to, host: r.Header.Get(headFrom),
		limitNamed: limited, leaving: p.leavingIDs[to], askedPause: p.sheddingIDs[to],
	})
	leaves, sheds, takes := p.leavingIDs[to], p.sheddingIDs[to], p.serviceTime
	p.inFlight[to]++
	p.peak[to] = max(p.peak[to], p.inFlight[to])
	p.mu.Unlock()
	defer p.endRequest(to)
	if takes > 0 {
		<-time.After(takes)
	}
	w.Header().Set(headID, id)
	if leaves {
		w.Header().Set(headLeaving, "1")
	}
	if sheds {
		w.Header().Set(headPause, pauseDuration.String())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if limited {
		w.Header().Set(headLimit, limit)
	}
}

// endRequest counts the end of a request at an upstream.
func (p *teamFleet) endRequest(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight[id]--
}

// kill ends the process on a host without a graceful shutdown.
func (p *teamFleet) kill(host string) {
	p.mu.Lock()
	p.processes[host].dead = true
	p.mu.Unlock()
	p.net.Kill(host)
}

// partition cuts a host off from all other hosts, or undoes that.
func (p *teamFleet) partition(host string, cut bool) {
	for _, other := range p.hosts {
		switch {
		case other == host:
		case cut:
			p.net.Cut(host, other)
		default:
			p.net.Heal(host, other)
		}
	}
}
