package edge

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"damaskreach/internal/avoid"
	"damaskreach/internal/direct"
	"damaskreach/internal/feeds"
	"damaskreach/internal/flight"
	"damaskreach/internal/flow"
	"damaskreach/internal/holds"
	"damaskreach/internal/intake"
	"damaskreach/internal/jitter"
	"damaskreach/internal/limits"
	"damaskreach/internal/loader"
	"damaskreach/internal/pick"
	"damaskreach/internal/quotas"
	"damaskreach/internal/ration"
	"damaskreach/internal/reach"
	"damaskreach/internal/roster"
	"damaskreach/internal/setup"
	"damaskreach/internal/spare"
	"damaskreach/internal/speed"
	"damaskreach/internal/speeds"
	"damaskreach/internal/stats"
	"damaskreach/internal/tenure"
	"damaskreach/internal/uplink"
)

// build makes the parts and connects them.
func (e *Edge) build() *direct.Direct {
	s := e.Setup()
	e.feeds = feeds.NewFeeds()
	e.depot.Rows, e.depot.Past = e.stored, &e.past
	e.look()
	e.Table = e.noted(measured(e.Table, e.Stats))
	e.holds = holds.NewHolds()
	e.pick = pick.NewPick(s.Centre)
	e.avoid = avoid.NewAvoid()
	e.ration = ration.NewRation(e.Clock)
	e.flight = flight.NewFlight(e.Clock)
	e.news = newNews()
	e.intake = e.buildIntake()
	e.tenure = e.buildTenure(s)
	e.roster = roster.NewRoster(s.IP, e.turner)
	usual := &speed.Speed{Before: e.tenure.Rates}
	e.speeds = speeds.NewSpeeds(usual)
	e.pick.Slow = e.speeds.Slow
	e.tenure.Measured, e.tenure.Beside = usual.Rates, e.memos
	e.jitter = jitter.NewJitter()
	e.giver = e.buildGiver(s)
	e.quotas = &quotas.Quotas{Parts: limits.Parts, Held: e.tenure.Counts, Clock: e.Clock, Life: strconv.FormatUint(rand.Uint64(), 36)}
	e.limits = &limits.Limits{Ask: e.charge, Log: e.Log}
	e.reach = &reach.Reach{Open: e.Dial, Addrs: e.upstreams, Changed: e.wayChanged, Log: e.Log}
	e.uplink = e.buildUplink()
	e.spare = &spare.Spare{Hosts: e.count, Clock: e.Clock, Begun: e.Clock(), Bound: func() (float64, float64, time.Duration) {
		s := e.Setup()
		return s.Share, s.Extra, s.Window
	}}
	return e.buildDirect()
}

// buildUplink makes what sends requests to upstreams.
func (e *Edge) buildUplink() *uplink.Uplink {
	return &uplink.Uplink{
		Dial: e.connect, Matches: e.Matches, Most: e.mostConns, Opened: func(string) { e.Stats.Add(stats.Connections, 1) },
		Usable: e.usable, Sent: e.sentOn, Heard: e.heardOn,
	}
}

// buildIntake makes what reads the configuration and the registrations.
func (e *Edge) buildIntake() *intake.Intake {
	i := intake.NewIntake()
	i.Table, i.Conf, i.Targets = e.Table, e.Conf, e.Targets
	i.Rules, i.Target, i.Version = e.Rules, e.Target, e.Version
	i.Every, i.Again, i.Pause, i.Clock = e.readEvery, e.readAgain, e.retryPause, e.Clock
	i.Read, i.Changed, i.Keep = e.told, e.nudge, e.feeds.Keep
	i.Relaxed, i.Passed, i.Others, i.Patience = e.relaxed, e.passed, e.others, e.patience
	i.Applied, i.Log = e.past.Add, e.Log
	return i
}

// buildTenure makes what decides which host orders which engine.
func (e *Edge) buildTenure(s setup.Setup) *tenure.Tenure {
	return &tenure.Tenure{
		Table: e.shared(e.Table), Store: e.Table, Others: e.others, Patience: e.patience,
		IP: s.IP, Peers: s.Peers, Callers: s.Callers, Centre: s.Centre, Power: s.Cores,
		Turn: func() time.Duration { return e.Setup().Turn }, Clock: e.Clock, Pause: e.retryPause,
		Blocked: e.blocked, Yields: e.yields, Ordered: e.lastOrder, Able: e.able, Engines: e.engines, Live: e.live, Relaxed: e.relaxed, Keep: e.feeds.Keep,
		Log: e.Log, Stats: e.Stats,
	}
}

// buildGiver makes what gives engines their orders.
func (e *Edge) buildGiver(s setup.Setup) *loader.Loader {
	return &loader.Loader{
		SendOrder: e.order, FetchState: e.Ask, Fence: e.tenure.Fence, OwnedEngines: e.tenure.Mine, View: e.intake.View, Publish: e.learn, FetchMemo: e.recall,
		Flow: flow.NewFlow(), Jitter: e.jitter, Ration: e.ration, DrainAnnounced: e.avoid.Leaves, UnusedAfter: e.unused, OtherModelLoads: e.modelLoads,
		ModelLoadWindow: func() time.Duration { return e.Setup().Loads }, Holder: s.IP,
		Log: e.Log, Stats: e.Stats,
	}
}

// buildDirect makes what serves callers.
func (e *Edge) buildDirect() *direct.Direct {
	return &direct.Direct{
		Decode: e.Decode, OnBehalf: e.OnBehalf, Headers: e.Headers, NotRun: e.NotRun, Notice: e.Notice, Do: e.uplink.Do,
		Owner: e.ordered, Admit: e.admit, Spent: e.spent, Permit: e.permit, TellLimit: e.tellLimit, Charge: e.limits.Charge, Use: e.use,
		Late: e.late, Ending: e.ending, Bound: context.WithDeadline, Grace: func() time.Duration { return e.Setup().Version / 2 }, View: e.intake.View, Age: e.relied, Away: e.intake.Away,
		Blames: e.reach.Blames, Started: time.Now(), Holds: e.holds, Pick: e.pick, Spare: e.spare, Ration: e.ration, Flight: e.flight, Avoid: e.avoid, Blame: &e.blame, Speeds: e.speeds,
		Log: e.Log, Requests: e.Requests, Stats: e.Stats,
	}
}
