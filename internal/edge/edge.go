// Package edge puts the parts of an entry host on the users' platform together.
package edge

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/avoid"
	"damaskreach/internal/blame"
	"damaskreach/internal/busy"
	"damaskreach/internal/change"
	"damaskreach/internal/conns"
	"damaskreach/internal/demand"
	"damaskreach/internal/effect"
	"damaskreach/internal/feeds"
	"damaskreach/internal/giver"
	"damaskreach/internal/holds"
	"damaskreach/internal/intake"
	"damaskreach/internal/limits"
	"damaskreach/internal/lookup"
	"damaskreach/internal/mate"
	"damaskreach/internal/mates"
	"damaskreach/internal/notice"
	"damaskreach/internal/peer"
	"damaskreach/internal/pick"
	"damaskreach/internal/quotas"
	"damaskreach/internal/ration"
	"damaskreach/internal/roster"
	"damaskreach/internal/rows"
	"damaskreach/internal/rules"
	"damaskreach/internal/setup"
	"damaskreach/internal/spare"
	"damaskreach/internal/speeds"
	"damaskreach/internal/state"
	"damaskreach/internal/stats"
	"damaskreach/internal/sway"
	"damaskreach/internal/table"
	"damaskreach/internal/target"
	"damaskreach/internal/tenure"
	"damaskreach/internal/trust"
	"damaskreach/internal/turns"
	"damaskreach/internal/uplink"
	"damaskreach/internal/usage"
)

const (
	// sweepEvery is how often idle connections and records of what is gone are dropped.
	sweepEvery = time.Second
	// selfEvery is how often the requests under way here are told to the desks of this host.
	selfEvery = 200 * time.Millisecond
	// answerLife is how long callers may keep the answer to a lookup. It bounds how long a host that leaves or died still
	// gets new connections.
	answerLife = 2 * time.Second
	// stayFor is how long a leaving host serves as before: lookups stop naming it at once, and callers keep their answers.
	stayFor = 2 * time.Second
	// endSlack is how much of the grace is kept for the end of the process itself.
	endSlack = 600 * time.Millisecond
	// leastIdle is how long a connection to a leaving host must have been idle to be closed: the next request of a caller
	// that has just got an answer is likely.
	leastIdle = 50 * time.Millisecond
	// idleSlack is added to the time that a caller may leave its connection idle, for the way of its next request.
	idleSlack = 500 * time.Millisecond
	// leastConns is how many connections to an upstream a host may have at least, however many hosts there are.
	leastConns = 2
	// filesShare is the part of the process's descriptors that the connections to one upstream may take.
	filesShare = 4
	// readTimeout bounds how long a caller may take for its headers where the configuration has no bound.
	readTimeout = 10 * time.Second
)

// Edge is one entry host. Its exported fields are set before Run; the functions speak the platform's protocols.
type Edge struct {
	Setup   func() setup.Setup
	Table   table.Table
	Conf    string // prefix of the operators' rows
	Targets string // prefix of the registrations
	Rules   func(row rows.Row) (rules.Rules, bool, error)
	Target  func(row rows.Row) (target.Target, error)
	Version func(row rows.Row) (adapter string, version int, ok bool, err error)
	Decode  func(r *http.Request) (demand.Demand, error)
	Headers func(id string, left time.Duration, version int, last string) http.Header
	NotRun  func(status int, h http.Header) bool
	Notice  func(status int, h http.Header) (notice.Notice, error)
	// OnBehalf returns a caller's headers as they go to an upstream in the name of a team.
	OnBehalf func(h http.Header, team string) http.Header
	Matches  func(h http.Header, id string) bool
	Give     func(ctx context.Context, c change.Change) (effect.Effect, error)
	Ask      func(ctx context.Context, c change.Change) (state.State, error)
	Dial     func(ctx context.Context, addr string) (net.Conn, error)
	Listen   func(addr string) (net.Listener, error)
	Clock    func() time.Duration // goes on through suspensions
	// Serve returns the handlers for lookups and for the platform's question whether the host is ready.
	Lookup func(names func(centre string) (addrs []string, life time.Duration)) http.Handler
	Ready  func(ready func() bool) http.Handler
	Log    *zap.Logger
	// Requests takes the line that every request ends with; it is the first to lose lines where there are too many.
	Requests *zap.Logger
	Stats    *stats.Stats

	intake  *intake.Intake
	tenure  *tenure.Tenure
	giver   *giver.Giver
	quotas  *quotas.Quotas
	limits  *limits.Limits
	mates   atomic.Pointer[mates.Mates]
	mesh    atomic.Pointer[peer.Mesh]
	roster  *roster.Roster
	feeds   *feeds.Feeds
	readers trust.Trust
	holds   *holds.Holds
	speeds  *speeds.Speeds
	sway    *sway.Sway
	pick    *pick.Pick
	ration  *ration.Ration
	avoid   *avoid.Avoid
	duty    atomic.Pointer[duty]
	uplink  *uplink.Uplink
	spare   *spare.Spare
	news    *news
	bundles bundles
	conns   conns.Conns
	blame   blame.Blame
	keeper  keeper
	leaving atomic.Bool
	leftAt  atomic.Int64 // when it began to leave, in Unix nanoseconds
}

// engines returns the upstreams that need a host for their orders, and the parts of teams' limits that need one.
func (e *Edge) engines() map[string]target.Target {
	v := e.intake.View()
	engines := map[string]target.Target{}
	for id, t := range v.Targets {
		if v.Rules.Pools[t.Group].Engine {
			engines[id] = t
		}
	}
	for _, t := range v.Rules.Teams {
		if t.Limited() {
			return withParts(engines)
		}
	}
	return engines
}

// withParts adds the parts of teams' limits, which lie at one host each like the orders to an engine.
func withParts(engines map[string]target.Target) map[string]target.Target {
	for _, part := range limits.Parts() {
		engines[part] = target.Target{ID: part}
	}
	return engines
}

// readEvery returns how often the upstreams' registrations are read: as often as they change, and often enough for one that
// leaves to get no new work in time though a reading fails.
func (e *Edge) readEvery() time.Duration {
	s := e.Setup()
	return min(s.Beat, s.Drain*6/10)
}

// mostConns returns this host's part of the connections that an upstream takes.
func (e *Edge) mostConns(addr string) int {
	v := e.intake.View()
	for _, t := range v.Targets {
		if t.Addr == addr {
			share := v.Rules.Pools[t.Group].MaxConns * 9 / 10 / e.count()
			return max(leastConns, min(share, e.Setup().Files/filesShare))
		}
	}
	return 0
}

// count returns how many hosts share what all may use together: second tries and connections to upstreams. Those that this host does not
// hear at the moment count too: where it loses its relays it hears nobody, and dozens of hosts that each took the whole for
// itself would send upstreams many times what they may.
func (e *Edge) count() int {
	return e.tenure.Count()
}

// Run serves until ctx ends, and then as long as the requests under way need, within the grace.
func (e *Edge) Run(ctx context.Context) error {
	handler := e.build()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	e.begin(work)
	callers, failed, err := e.listen(handler)
	if err != nil {
		return err
	}
	s := e.Setup()
	e.Log.Info("started", zap.String("name", s.Name), zap.String("callers", s.Callers), zap.String("centre", s.Centre))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	e.leave(callers)
	return nil
}

// begin starts all that goes on beside requests.
func (e *Edge) begin(work context.Context) {
	e.gauges()
	go e.intake.RunConf(work)
	go e.intake.RunTargets(work)
	go e.tenure.Run(work)
	go e.giver.Run(work)
	go e.quotas.Run(work)
	go e.runPeers(work, e.Setup())
	go e.sweep(work)
	go e.tellSelf(work)
}

func (e *Edge) sweep(ctx context.Context) {
	for range turns.Every(ctx, sweepEvery) {
		v, now := e.intake.View(), time.Now()
		e.uplink.Sweep()
		if limit := v.Rules.IdleFor; limit > 0 {
			e.conns.CloseIdle(limit + idleSlack)
		}
		e.holds.Forget(v.Targets, now)
		e.pick.Forget(v.Targets, now)
		left := func(id string) bool {
			_, ok := v.Targets[id]
			return !ok
		}
		e.ration.Forget(left)
		e.avoid.Forget(left, now)
		e.roster.Forget(left)
		e.speeds.Forget(left, now)
		gone := func(ip string) bool { return !e.live(ip) }
		e.feeds.Forget(gone)
		e.readers.Forget(gone)
	}
}

// tellSelf does for the engines whose turns this host grants what messages do for those of others.
func (e *Edge) tellSelf(ctx context.Context) {
	for range turns.Every(ctx, selfEvery) {
		e.look()
		ip := e.Setup().IP
		e.giver.Take(e.uses(ip, e.grants), time.Now())
	}
}

func (e *Edge) ready() bool {
	v := e.intake.View()
	return !e.leaving.Load() && v.Known() && len(v.Targets) > 0
}

// names returns the addresses of hosts that serve, for callers in a data centre.
func (e *Edge) names(centre string) ([]string, time.Duration) {
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
		addrs = append(addrs, h.Callers)
	}
	return addrs, min(answerLife, s.Life)
}

// own returns what this host tells of itself.
func (e *Edge) own() (own busy.Busy, uses []usage.Usage, broke []string) {
	own = busy.Busy{
		Leaving: e.leaving.Load(), Lapsed: e.tenure.Left() <= 0, Away: e.intake.Away(), Loads: e.loads(), Waits: e.waits(), Models: e.giver.Models(),
	}
	uses = e.uses(e.Setup().IP, func(id string) bool { return !e.grants(id) })
	return own, uses, e.blame.News()
}

// uses returns what this host's requests use at the engines wanted, and how fast they go there.
func (e *Edge) uses(ip string, wanted func(id string) bool) []usage.Usage {
	list := e.news.uses(ip, 2*e.old(), wanted)
	now := time.Now()
	for i, u := range list {
		event, count := e.speeds.Measured(u.Engine, now)
		list[i].Event, list[i].Events = event.Microseconds(), count
	}
	return list
}

// waits returns the waits at engines whose turns this host grants, and notes them for its own choices.
func (e *Edge) waits() map[string]int {
	ms := map[string]int{}
	now := time.Now()
	for id, wait := range e.giver.Waits(e.grants) {
		e.pick.Waits(id, wait, now)
		if wait >= time.Millisecond {
			ms[id] = int(wait.Milliseconds())
		}
	}
	return ms
}
