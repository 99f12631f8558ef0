//go:build !race

package edge_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
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
	l, err := p.net.Listen(upstreamAddr)
	if err != nil {
		t.Fatalf("upstream: %v", err)
	}
	server := &http.Server{Handler: http.HandlerFunc(p.run)}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return p
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

// ask sends one request of a team to a host.
func (p *payers) ask(client *http.Client, luck uint64, host, name string, units int) {
	id := fmt.Sprintf("%s-%x", name, luck)
	begun := time.Now()
	p.mu.Lock()
	p.sent[id] = begun
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(p.ctx, 1500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+":8000/x", nil)
	if err != nil {
		p.t.Errorf("request: %v", err)
		return
	}
	r.Host = "a.example"
	r.Header = http.Header{headID: {id}, headKey: {"key of " + name}, headUnits: {strconv.Itoa(units)}}
	status := 0
	if answer, err := client.Do(r); err == nil {
		status = answer.StatusCode
		io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.said = append(p.said, said{sent: begun, team: name, units: float64(units), status: status, took: time.Since(begun)})
}

// load has callers of a team ask at a rate until ctx ends, each request at any host.
func (p *payers) load(ctx context.Context, seed uint64, name string, perSecond float64, units func(luck *rand.Rand) int) {
	luck := rand.New(rand.NewPCG(seed, 31))
	client := &http.Client{Transport: &http.Transport{
		DialContext:     func(ctx context.Context, _, addr string) (net.Conn, error) { return p.net.Dial(callerIP)(ctx, addr) },
		IdleConnTimeout: time.Second,
	}}
	go func() {
		defer client.CloseIdleConnections()
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(luck.ExpFloat64() / perSecond * float64(time.Second))):
				go p.ask(client, luck.Uint64(), p.hosts[luck.IntN(len(p.hosts))], name, units(luck))
			}
		}
	}()
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

// wantWithin checks that in no span of a window's length more units of a team ran than its limit allows with some slack.
func (p *payers) wantWithin(name string, window time.Duration, limit func(at time.Time) (rate, burst float64), slack float64) {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	worst, worstAt := 0.0, time.Time{}
	for _, first := range p.runs {
		if first.team != name {
			continue
		}
		sum := 0.0
		for _, r := range p.runs {
			if r.team == name && !r.sent.Before(first.sent) && r.at.Before(first.sent.Add(window)) {
				sum += r.units
			}
		}
		rate, burst := limit(first.sent)
		most := (rate*window.Seconds()+burst)*1.1 + slack
		if sum/most > worst {
			worst, worstAt = sum/most, first.sent
		}
	}
	p.t.Logf("team %s: at most %.2f of what any %v may hold, %.1f s after the start", name, worst, window, worstAt.Sub(p.begun).Seconds())
	if worst > 1 {
		p.t.Errorf("team %s ran %.2f of what its limit allows in %v, %.1f s after the start", name, worst, window, worstAt.Sub(p.begun).Seconds())
	}
}

// settled is how long before a time it counts what a team had.
const settled = 10 * time.Second

// wantServed checks that between two times nearly all was served of what a team asked below its limit: what it had, and what was refused
// though a bucket of the whole limit had the units when it was asked for, less what else was asked for and ran before the answer came.
func (p *payers) wantServed(when string, from, to time.Time, t team.Team) {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	asked := slices.Clone(p.said)
	slices.SortFunc(asked, func(a, b said) int { return a.sent.Compare(b.sent) })
	asked = slices.DeleteFunc(asked, func(s said) bool { return s.team != t.Name || s.sent.Before(from.Add(-settled)) })
	served, denied := 0.0, 0.0
	for _, s := range asked {
		switch {
		case s.sent.Before(from) || s.sent.After(to):
		case s.status == http.StatusOK:
			served += s.units
		case left(asked, t, from.Add(-settled), s) >= min(s.units, t.Burst):
			denied += s.units
		}
	}
	p.t.Logf("%s: team %s had %.0f units, and %.0f were refused that it asked for below its limit", when, t.Name, served, denied)
	if served < 0.95*(served+denied) {
		p.t.Errorf("%s: team %s had %.3f of what it asked for below its limit, want 0.95", when, t.Name, served/(served+denied))
	}
}

// left returns what a bucket of a team's limit that was full at a time has left for a request, after those that were served.
func left(asked []said, t team.Team, full time.Time, of said) float64 {
	level, then, during := t.Burst, full, 0.0
	for _, s := range asked {
		switch {
		case s.status != http.StatusOK:
		case s.sent.Before(of.sent):
			level = min(t.Burst, level+t.Rate*s.sent.Sub(then).Seconds()) - s.units
			then = s.sent
		case s.sent.Before(of.sent.Add(of.took)):
			during += s.units
		}
	}
	return min(t.Burst, level+t.Rate*of.sent.Sub(then).Seconds()) - during
}
