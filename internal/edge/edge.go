// Package edge puts the parts of an entry host on the users' platform together.
package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/avoid"
	"damaskreach/internal/blame"
	"damaskreach/internal/change"
	"damaskreach/internal/conns"
	"damaskreach/internal/demand"
	"damaskreach/internal/depot"
	"damaskreach/internal/effect"
	"damaskreach/internal/feeds"
	"damaskreach/internal/flight"
	"damaskreach/internal/holds"
	"damaskreach/internal/intake"
	"damaskreach/internal/jitter"
	"damaskreach/internal/limits"
	"damaskreach/internal/loader"
	"damaskreach/internal/mates"
	"damaskreach/internal/notice"
	"damaskreach/internal/past"
	"damaskreach/internal/peer"
	"damaskreach/internal/pick"
	"damaskreach/internal/quotas"
	"damaskreach/internal/ration"
	"damaskreach/internal/reach"
	"damaskreach/internal/roster"
	"damaskreach/internal/rows"
	"damaskreach/internal/rules"
	"damaskreach/internal/setup"
	"damaskreach/internal/spare"
	"damaskreach/internal/speeds"
	"damaskreach/internal/state"
	"damaskreach/internal/stats"
	"damaskreach/internal/table"
	"damaskreach/internal/target"
	"damaskreach/internal/tenure"
	"damaskreach/internal/trust"
	"damaskreach/internal/uplink"
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
	giver   *loader.Loader
	quotas  *quotas.Quotas
	limits  *limits.Limits
	mates   atomic.Pointer[mates.Mates]
	mesh    atomic.Pointer[peer.Mesh]
	roster  *roster.Roster
	feeds   *feeds.Feeds
	readers trust.Trust
	holds   *holds.Holds
	speeds  *speeds.Speeds
	jitter  *jitter.Jitter
	pick    *pick.Pick
	ration  *ration.Ration
	flight  *flight.Flight
	avoid   *avoid.Avoid
	duty    atomic.Pointer[duty]
	uplink  *uplink.Uplink
	reach   *reach.Reach
	orders  sync.Map     // when this host gave its last order to each engine, by Clock
	passes  atomic.Int64 // connections to upstreams that this host has opened for others
	spare   *spare.Spare
	news    *news
	past    past.Past
	depot   depot.Depot
	brings  brings
	conns   conns.Conns
	blame   blame.Blame
	keeper  keeper
	ending  context.Context // done shortly before the program ends
	leaving atomic.Bool
	leftAt  atomic.Int64 // when it began to leave, in Unix nanoseconds
}

// Run serves until ctx ends or a port fails, and then as long as the requests under way need, within the grace.
func (e *Edge) Run(ctx context.Context) error {
	ending, end := context.WithCancel(context.Background())
	defer end()
	e.ending = ending
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
	var fault error
	select {
	case fault = <-failed:
		e.Log.Error("a port failed", zap.Error(fault))
	case <-ctx.Done():
	}
	e.leave(callers, end)
	handler.Left()
	return fault
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
	go e.reach.Run(work)
	go e.sweep(work)
	go e.tellSelf(work)
}
