// Package edge wires the components of one entry host's process together.
package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sync/singleflight"

	"damaskreach/internal/avoid"
	"damaskreach/internal/builds"
	"damaskreach/internal/change"
	"damaskreach/internal/conns"
	"damaskreach/internal/demand"
	"damaskreach/internal/depot"
	"damaskreach/internal/doubt"
	"damaskreach/internal/effect"
	"damaskreach/internal/facts"
	"damaskreach/internal/feeds"
	"damaskreach/internal/flight"
	"damaskreach/internal/guard"
	"damaskreach/internal/holds"
	"damaskreach/internal/intake"
	"damaskreach/internal/jitter"
	"damaskreach/internal/limits"
	"damaskreach/internal/loader"
	"damaskreach/internal/mates"
	"damaskreach/internal/notice"
	"damaskreach/internal/origin"
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
	"damaskreach/internal/spool"
	"damaskreach/internal/state"
	"damaskreach/internal/stats"
	"damaskreach/internal/table"
	"damaskreach/internal/target"
	"damaskreach/internal/tenure"
	"damaskreach/internal/trust"
	"damaskreach/internal/uplink"
)

// Edge is the process of one entry host. Its exported fields are set before Run; its functions implement the platform's protocols.
type Edge struct {
	Setup           func() setup.Setup
	Table           table.Table
	ConfPrefix      string // key prefix of the operators' rows
	TargetPrefix    string // key prefix of the upstreams' registrations
	DecodeRules     func(row rows.Row) (rules.Rules, bool, error)
	DecodeTarget    func(row rows.Row) (target.Target, error)
	DecodeVersion   func(row rows.Row) (adapter string, version int, ok bool, err error)
	DecodeRequest   func(r *http.Request) (demand.Demand, error)
	UpstreamHeaders func(id string, left time.Duration, version int, last string) http.Header
	NotRun          func(sent http.Header, status int, h http.Header) (stated bool, d doubt.Doubt)
	DecodeNotice    func(status int, h http.Header) (notice.Notice, error)
	// TeamHeaders returns a caller's headers as sent to an upstream on behalf of a team.
	TeamHeaders func(h http.Header, team string) http.Header
	// AnswerID returns the id of the request that an answer belongs to, empty where it names none.
	AnswerID   func(h http.Header) string
	SendOrder  func(ctx context.Context, c change.Change) (effect.Effect, error)
	QueryState func(ctx context.Context, c change.Change) (state.State, error)
	Dial       func(ctx context.Context, addr string) (net.Conn, error)
	Listen     func(addr string) (net.Listener, error)
	Clock      func() time.Duration // also counts time in which the machine is suspended
	// Lookup and Ready return the handlers for address lookups and for the platform's readiness probe.
	Lookup func(names func(centre string) (addrs []string, life time.Duration)) http.Handler
	Ready  func(ready func() bool) http.Handler
	Log    *zap.Logger
	// RequestLog takes the final line of each request; under overload its lines are dropped first.
	RequestLog *zap.Logger
	Stats      *stats.Stats

	intake         *intake.Intake
	tenure         *tenure.Tenure
	loader         *loader.Loader
	quotas         *quotas.Quotas
	limits         *limits.Limits
	mates          atomic.Pointer[mates.Mates]
	mesh           atomic.Pointer[peer.Mesh]
	roster         *roster.Roster
	feeds          *feeds.Feeds
	readers        trust.Trust
	holds          *holds.Holds
	speeds         *speeds.Speeds
	jitter         *jitter.Jitter
	pick           *pick.Pick
	ration         *ration.Ration
	flight         *flight.Flight
	avoid          *avoid.Avoid
	fallback       atomic.Pointer[fallback]
	uplink         *uplink.Uplink
	reach          *reach.Reach
	lastOrders     sync.Map     // time of this host's last order to each engine, by Clock
	forwardedConns atomic.Int64 // connections to upstreams opened for other hosts
	spare          *spare.Spare
	activity       *activity
	past           past.Past
	depot          depot.Depot
	confFetch      confFetch
	conns          conns.Conns // of callers
	lookups        conns.Conns // of those who ask for addresses
	probes         conns.Conns // of those who ask whether the host is ready
	scrapes        conns.Conns // of scrapers
	guard          *guard.Guard
	looks          singleflight.Group // of askPeers, by address
	origins        *origin.Origin
	builds         builds.Builds
	buildsTurn     *semaphore.Weighted // held while the builds that are written down are read
	buildsRead     time.Duration       // when that last began, by Clock; needs buildsTurn
	spool          *spool.Spool
	facts          *facts.Facts
	memoWriter     memoWriter
	closing        context.Context // done when the host stops too soon to finish another request
	ending         context.Context // done shortly before the process exits
	leaving        atomic.Bool
}

// Run serves until ctx ends or a port fails, then finishes requests in flight within the grace period.
func (e *Edge) Run(ctx context.Context) error {
	closing, closeEntry := context.WithCancel(context.Background())
	defer closeEntry()
	ending, end := context.WithCancel(context.Background())
	defer end()
	e.closing, e.ending = closing, ending
	handler := e.build()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	e.startBackground(work)
	callers, failed, err := e.listen(handler)
	if err != nil {
		return err
	}
	s := e.Setup()
	e.Log.Info("started", zap.String("name", s.Name), zap.String("callers", s.Callers), zap.String("centre", s.Centre))
	var fault error
	select {
	case fault = <-failed:
		e.Log.Error("listener failed", zap.Error(fault))
	case <-ctx.Done():
	}
	e.leave(callers, closeEntry, end)
	handler.LogUnfinished()
	return fault
}

// startBackground starts all work that does not belong to a single request.
func (e *Edge) startBackground(work context.Context) {
	e.registerGauges()
	go e.intake.RunConf(work)
	go e.intake.RunTargets(work)
	go e.tenure.Run(work)
	go e.loader.Run(work)
	go e.quotas.Run(work)
	go e.runPeers(work, e.Setup())
	go e.reach.Run(work)
	go e.sweep(work)
	go e.checkEnded(work)
	go e.watchUpstreams(work)
	go e.facts.Run(work)
	go e.spool.Run(work)
	go e.restoreOrigins(work)
	go e.clearOrigins(work)
	go e.reportToSelf(work)
}
