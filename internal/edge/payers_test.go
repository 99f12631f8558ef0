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
	headMost     = "Fake-Most" // requests a second that the upstream takes
	headLeaving  = "Fake-Leaving"
	// restAsked is for how long upstreams that turn requests away ask for rest.
	restAsked = 3 * time.Second
	headRest  = "Fake-Rest" // for which the upstream wants nothing
)

// ran is one request as an upstream ran it.
type ran struct {
	sent    time.Time // by its caller
	at      time.Time
	team    string
	units   float64
	to      string // upstream
	from    string // host
	told    bool   // the answer named a limit
	leaving bool   // the answer said so
	rest    bool   // turned away, with a time to rest
}

// said is the answer to one request.
type said struct {
	sent   time.Time
	host   string
	team   string
	units  float64
	status int
	took   time.Duration
}

// payers is a fleet whose callers belong to teams with limits.
type payers struct {
	*fleet
	ctx   context.Context
	teams func(version int64) []team.Team // in each version of the configuration

	mu      sync.Mutex
	runs    []ran
	said    []said
	sent    map[string]time.Time
	lives   map[string]*life
	engines bool              // the upstreams take orders
	takes   time.Duration     // that upstreams run a request
	under   map[string]int    // requests at each upstream now
	peak    map[string]int    // the most that there were at once
	most    map[string]string // limit that each upstream names of itself
	leaves  map[string]bool   // upstreams that say that they leave
	sheds   map[string]bool   // upstreams that turn requests away
}

// life is one start of the program on a host.
type life struct {
	dead bool // killed: nothing of it reaches the network or the store any more
}

func newPayers(t *testing.T, hosts, centres, upstreams int, teams func(version int64) []team.Team) *payers {
	return newPayersOf(t, hosts, centres, upstreams, teams, func(*edge.Edge, *setup.Setup) {})
}

// newPayersOf changes each host before it starts.
func newPayersOf(
	t *testing.T, hosts, centres, upstreams int, teams func(version int64) []team.Team, adapt func(e *edge.Edge, s *setup.Setup),
) *payers {
	p := &payers{teams: teams, sent: map[string]time.Time{}, lives: map[string]*life{}, most: map[string]string{}, under: map[string]int{}, peak: map[string]int{}, leaves: map[string]bool{}, sheds: map[string]bool{}, ctx: t.Context()}
	p.fleet = newFleetOf(t, hosts, centres, upstreams, func(e *edge.Edge, s *setup.Setup) (killed func() bool) {
		killed = p.adapt(e, s)
		adapt(e, s)
		return killed
	})
	p.serveAt(t, upstreamAddr, p.run)
	return p
}

// serveAt serves an address until the test ends.
func (p *payers) serveAt(t *testing.T, addr string, handler http.HandlerFunc) {
	t.Helper()
	l, err := p.net.Listen(addr)
	if err != nil {
		t.Fatalf("Listen(%q) = %v, want nil", addr, err)
	}
	server := &http.Server{Handler: handler}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
}

// adapt lets a host decode the fakes' own requests, and lets it be killed.
func (p *payers) adapt(e *edge.Edge, s *setup.Setup) (killed func() bool) {
	now := &life{}
	p.mu.Lock()
	p.lives[s.IP] = now
	p.mu.Unlock()
	e.Rules = p.rules
	e.Decode = func(r *http.Request) (demand.Demand, error) {
		units, err := strconv.Atoi(r.Header.Get(headUnits))
		return demand.Demand{
			ID: r.Header.Get(headID), Method: r.Method, Host: r.Host, URI: r.RequestURI, Header: r.Header.Clone(), Prompt: units,
			Key: apikey.NewKey(r.Header.Get(headKey)), Wait: 1500 * time.Millisecond,
		}, err
	}
	e.OnBehalf = func(h http.Header, team string) http.Header {
		next := h.Clone()
		next.Del(headKey)
		next.Set(headTeam, team)
		return next
	}
	ip := s.IP
	e.Headers = func(id string, _ time.Duration, _ int, _ string) http.Header {
		return http.Header{headFor: {id}, headFrom: {ip}}
	}
	e.NotRun = func(_ int, h http.Header) bool { return h.Get(headRest) != "" }
	e.Notice = noticed
	e.Matches = func(h http.Header, id string) bool { return h.Get(headID) == id }
	dial := e.Dial
	e.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if p.dead(now) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return dial(ctx, addr)
	}
	e.Table = p.mortal(e.Table, now)
	return func() bool { return p.dead(now) }
}

func (p *payers) dead(l *life) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return l.dead
}

// mortal returns the store as a start of the program reaches it.
func (p *payers) mortal(t table.Table, l *life) table.Table {
	list, write, tail, read, first := t.List, t.Write, t.Tail, t.Read, t.First
	t.First = func(ctx context.Context, prefix string, limit int) ([]rows.Row, int64, bool, error) {
		if p.dead(l) {
			return nil, 0, false, table.ErrDown
		}
		return first(ctx, prefix, limit)
	}
	t.List = func(ctx context.Context, prefix string) ([]rows.Row, int64, error) {
		if p.dead(l) {
			return nil, 0, table.ErrDown
		}
		return list(ctx, prefix)
	}
	t.Tail = func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error) {
		if p.dead(l) {
			return nil, 0, table.ErrDown
		}
		return tail(ctx, prefix, after)
	}
	t.Read = func(ctx context.Context, key string) (rows.Row, error) {
		if p.dead(l) {
			return rows.Row{}, table.ErrDown
		}
		return read(ctx, key)
	}
	t.Write = func(ctx context.Context, edits ...rows.Row) (int64, error) {
		if p.dead(l) {
			return 0, table.ErrDown
		}
		return write(ctx, edits...)
	}
	return t
}

// rules decodes a configuration: its row holds nothing but a version.
func (p *payers) rules(row rows.Row) (rules.Rules, bool, error) {
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

// noticed decodes what an upstream says of itself.
func noticed(_ int, h http.Header) (n notice.Notice, err error) {
	n.Leaving = h.Get(headLeaving) != ""
	if text := h.Get(headRest); text != "" {
		n.Rest, err = time.ParseDuration(text)
		return n, err
	}
	if text := h.Get(headMost); text != "" {
		n.Limited = true
		n.Limit, err = strconv.ParseFloat(text, 64)
	}
	return n, err
}

// run is the upstream: it runs whatever comes.
func (p *payers) run(w http.ResponseWriter, r *http.Request) {
	id, name := r.Header.Get(headID), r.Header.Get(headTeam)
	units, err := strconv.ParseFloat(r.Header.Get(headUnits), 64)
	if err != nil || r.Header.Get(headKey) != "" {
		p.t.Errorf("request %s with units %v and key %q, want no key", id, err, r.Header.Get(headKey))
	}
	to := r.Header.Get(headFor)
	p.mu.Lock()
	most, told := p.most[to]
	p.runs = append(p.runs, ran{sent: p.sent[id], at: time.Now(), team: name, units: units, to: to, from: r.Header.Get(headFrom), told: told, leaving: p.leaves[to], rest: p.sheds[to]})
	leaves, sheds, takes := p.leaves[to], p.sheds[to], p.takes
	p.under[to]++
	p.peak[to] = max(p.peak[to], p.under[to])
	p.mu.Unlock()
	defer p.ended(to)
	if takes > 0 {
		<-time.After(takes)
	}
	w.Header().Set(headID, id)
	if leaves {
		w.Header().Set(headLeaving, "1")
	}
	if sheds {
		w.Header().Set(headRest, restAsked.String())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if told {
		w.Header().Set(headMost, most)
	}
}

// ended counts the end of a request at an upstream.
func (p *payers) ended(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.under[id]--
}

// kill ends the program on a host without a word.
func (p *payers) kill(host string) {
	p.mu.Lock()
	p.lives[host].dead = true
	p.mu.Unlock()
	p.net.Kill(host)
}

// part cuts a host off from all other hosts, or heals that.
func (p *payers) part(host string, cut bool) {
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
