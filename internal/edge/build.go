package edge

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"damaskreach/internal/avoid"
	"damaskreach/internal/cause"
	"damaskreach/internal/feeds"
	"damaskreach/internal/flight"
	"damaskreach/internal/flow"
	"damaskreach/internal/guard"
	"damaskreach/internal/holds"
	"damaskreach/internal/intake"
	"damaskreach/internal/jitter"
	"damaskreach/internal/limits"
	"damaskreach/internal/loader"
	"damaskreach/internal/origin"
	"damaskreach/internal/pick"
	"damaskreach/internal/proxy"
	"damaskreach/internal/quotas"
	"damaskreach/internal/ration"
	"damaskreach/internal/reach"
	"damaskreach/internal/roster"
	"damaskreach/internal/setup"
	"damaskreach/internal/spare"
	"damaskreach/internal/speed"
	"damaskreach/internal/speeds"
	"damaskreach/internal/spool"
	"damaskreach/internal/stats"
	"damaskreach/internal/tenure"
	"damaskreach/internal/uplink"
)

// answerRoomShare is the part of the process's memory that answers may take that are read whole: one in so many bytes.
const answerRoomShare = 16

// build creates the components and connects them.
func (e *Edge) build() *proxy.Proxy {
	s := e.Setup()
	e.feeds = feeds.NewFeeds()
	e.depot.Rows, e.depot.Past = e.rowsForPeer, &e.past
	e.updateFallback()
	e.Table = e.withReadLog(withMetrics(e.Table, e.Stats))
	e.holds, e.origins = holds.NewHolds(), origin.NewOrigin()
	e.pick = pick.NewPick(s.Centre)
	e.avoid = avoid.NewAvoid()
	e.ration = ration.NewRation(e.Clock)
	e.flight = flight.NewFlight(e.Clock)
	e.activity = newActivity()
	e.intake = e.buildIntake()
	e.tenure = e.buildTenure(s)
	e.roster = roster.NewRoster(s.IP, e.turnGranter)
	usual := &speed.Speed{Prior: e.tenure.Rates}
	e.speeds = speeds.NewSpeeds(usual)
	e.pick.Slowdown = e.speeds.Slowdown
	e.tenure.LocalRates, e.tenure.ExtraRows = usual.Rates, e.memoEdits
	e.jitter = jitter.NewJitter()
	e.loader = e.buildLoader(s)
	e.quotas = &quotas.Quotas{Shards: limits.Shards, Held: e.tenure.LimitFence, Clock: e.Clock, Life: strconv.FormatUint(rand.Uint64(), 36)}
	e.limits = &limits.Limits{Ask: e.charge, Log: e.Log}
	e.reach = &reach.Reach{Open: e.Dial, Addrs: e.upstreamAddrs, Changed: e.reachabilityChanged, Log: e.Log}
	e.guard = guard.NewGuard(s.IP)
	c := &cause.Cause{Look: e.reach.Look, Ask: e.askPeers, Cut: func() bool { return e.reach.CutFor() > 0 }, Upstream: e.reach.IsToBlame, Log: e.Log}
	e.guard.IsToBlame, e.guard.Crashed, e.guard.Log, e.guard.Stats = c.IsToBlame, c.Gone, e.Log, e.Stats
	e.guard.Stays = e.stays
	e.facts = e.buildFacts()
	e.buildsTurn = semaphore.NewWeighted(1)
	e.spool = &spool.Spool{Table: e.Table, Prefix: streamPrefix, Host: s.IP, Writers: e.writerCount, Log: e.Log}
	e.uplink = e.buildUplink()
	e.spare = &spare.Spare{Hosts: e.hostCount, Part: e.retryPart, Refused: e.tenure.WantPart, Heard: e.reach.LastHeard, Clock: e.Clock, Opened: e.showRetries, Bound: func() (float64, float64, time.Duration) {
		s := e.Setup()
		return s.Share, s.Extra, s.Window
	}}
	e.boundCallers(s)
	return e.buildProxy()
}

// buildUplink creates the client that sends requests to upstreams.
func (e *Edge) buildUplink() *uplink.Uplink {
	return &uplink.Uplink{
		Dial: e.connect, AnswerID: e.AnswerID, NotRun: e.NotRun, Stray: e.strayAnswer, MaxConns: e.maxConns, Opened: func(string) { e.Stats.Add(stats.Connections, 1) },
		Usable: e.connUsable, Sent: e.noteSent, Received: e.noteReceived,
	}
}

// maxLoggedID bounds what is logged of an id that an upstream sent, in bytes.
const maxLoggedID = 64

// strayAnswer counts and logs an answer that does not belong to the request that waited for one.
func (e *Edge) strayAnswer(addr string, status int, id, waiting string) {
	e.Stats.Add(stats.Strays, 1, "named", strconv.FormatBool(id != ""))
	e.Log.Info("answer belongs to no request", zap.String("addr", addr), zap.Int("status", status), zap.Bool("named", id != ""),
		zap.String("names", id[:min(len(id), maxLoggedID)]), zap.String("waiting", waiting))
}

// buildIntake creates the reader of configuration and registrations.
func (e *Edge) buildIntake() *intake.Intake {
	i := intake.NewIntake()
	i.Table, i.Conf, i.Targets = e.Table, e.ConfPrefix, e.TargetPrefix
	i.Rules, i.Target, i.Version = e.DecodeRules, e.DecodeTarget, e.DecodeVersion
	i.ReadInterval, i.NextReadDelay, i.RetryDelay, i.Clock = e.readInterval, e.nextReadDelay, e.retryDelay, e.Clock
	i.OnRead, i.OnChange, i.RecordChanges = e.announceRead, e.announceChange, e.feeds.Keep
	i.ReadDelegated, i.Forwarded, i.FetchFromHost, i.ListDelay = e.readsDelegated, e.passedRows, e.rowsFromPeers, e.storePatience
	i.OnConfigApplied, i.Log = e.past.Add, e.Log
	return i
}

// buildTenure creates the component that decides which host owns which engine.
func (e *Edge) buildTenure(s setup.Setup) *tenure.Tenure {
	return &tenure.Tenure{
		Table: e.withPassedRows(e.Table), Store: e.Table, ListFromPeers: e.rowsFromPeers, PeerTimeout: e.storePatience,
		IP: s.IP, PeerAddr: s.Peers, CallerAddr: s.Callers, Centre: s.Centre, Cores: s.Cores,
		OrderGap: func() time.Duration { return e.Setup().Turn }, Clock: e.Clock, RetryDelay: e.retryDelay,
		PartMemory: func() time.Duration { return e.Setup().Window },
		Blocked:    e.unreachable, ShouldRelease: e.shouldRelease, LastOrder: e.lastOrder, PeerReaches: e.hostReaches,
		Engines: e.engines, Live: e.isAlive, ReadDelegated: e.readsDelegated, Publish: e.feeds.Keep,
		Log: e.Log, Stats: e.Stats,
	}
}

// buildLoader creates the loader, which sends engines their orders.
func (e *Edge) buildLoader(s setup.Setup) *loader.Loader {
	return &loader.Loader{
		SendOrder: e.sendOrder, FetchState: e.QueryState, Fence: e.tenure.Fence, OwnedEngines: e.tenure.OwnedEngines, View: e.intake.View,
		Publish: e.applyStock, FetchMemo: e.readMemo,
		Flow: flow.NewFlow(), Jitter: e.jitter, Ration: e.ration, DrainAnnounced: e.avoid.Leaving, UnusedAfter: e.unusedAfter, OtherModelLoads: e.modelLoads,
		ModelLoadWindow: func() time.Duration { return e.Setup().Loads }, Owner: s.IP,
		Log: e.Log, Stats: e.Stats,
	}
}

// buildProxy creates the proxy, which handles callers' requests.
func (e *Edge) buildProxy() *proxy.Proxy {
	return &proxy.Proxy{
		Decode: e.DecodeRequest, TeamHeaders: e.TeamHeaders, Headers: e.UpstreamHeaders, DecodeNotice: e.DecodeNotice, Send: e.uplink.Do,
		CanLoad: e.hasOwner, Admit: e.admit, EndTurn: e.reportTurnEnd, Permit: e.permit, AnnounceLimit: e.reportLimit,
		Charge: e.limits.Charge, Use: e.trackUse,
		Closing: e.closing, Stopping: e.ending, WithDeadline: context.WithDeadline,
		VersionGrace: func() time.Duration { return e.Setup().Version / 2 }, View: e.intake.View, ViewAge: e.readAge, StoreDown: e.intake.StoreDown,
		AnswerRoom: semaphore.NewWeighted(e.Setup().Memory << 20 / answerRoomShare),
		Part:       e.conns.Part, Widen: e.conns.Widen,
		Started: time.Now(), Holds: e.holds, Pick: e.pick, Spare: e.spare,
		Ration: e.ration, Flight: e.flight, Avoid: e.avoid, Guard: e.guard, Speeds: e.speeds,
		RecordOrigin: e.recordOrigin, FindBuild: e.findBuild, RecentBuilds: e.recentBuilds,
		Log: e.Log, RequestLog: e.RequestLog, Stats: e.Stats,
	}
}
