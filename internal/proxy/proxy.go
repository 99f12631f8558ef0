// Package proxy serves callers by sending each request straight to an upstream.
//
// An engine protects its own adapters: an unload waits for the requests that use the adapter, and a request for an adapter that
// is not loaded is rejected without being run. So no second host is needed between the one that the caller reached and the
// engine: streams have one hop less and don't break when some other host stops.
package proxy

import (
	"cmp"
	"context"
	"hash/fnv"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"damaskreach/internal/avoid"
	"damaskreach/internal/began"
	"damaskreach/internal/demand"
	"damaskreach/internal/events"
	"damaskreach/internal/flight"
	"damaskreach/internal/guard"
	"damaskreach/internal/holds"
	"damaskreach/internal/ident"
	"damaskreach/internal/intent"
	"damaskreach/internal/notice"
	"damaskreach/internal/pick"
	"damaskreach/internal/ration"
	"damaskreach/internal/resp"
	"damaskreach/internal/room"
	"damaskreach/internal/spare"
	"damaskreach/internal/speeds"
	"damaskreach/internal/spent"
	"damaskreach/internal/stats"
	"damaskreach/internal/team"
	"damaskreach/internal/view"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	// minNoConfigRetry and maxNoConfigRetry bound the Retry-After of a host that has no configuration yet, from some calls to
	// the store up. In between it is the time for which the host has tried to read one: a caller that retries only once should not do
	// so during a store outage.
	minNoConfigRetry = 500 * time.Millisecond
	maxNoConfigRetry = 3 * time.Second
	// minStoreDownRetry replaces minNoConfigRetry while the store does not answer: outages that a host meets at its start last for
	// seconds, and most callers retry only once.
	minStoreDownRetry = 2 * time.Second
	// otherHostRetry is the Retry-After of a host that stops; another host can serve the request at once.
	otherHostRetry = 20 * time.Millisecond
	// suspectRetry is the Retry-After of a request that seems to crash upstreams: a first block has ended by then.
	suspectRetry = 10 * time.Minute
	// defaultRetry is the Retry-After where nothing better is known: about the time in which the neighbours of a crashed upstream
	// take over or a load completes.
	defaultRetry = 700 * time.Millisecond
	// maxRulesAge is the age of the configuration up to which a host may reject a key as unknown; in an older one a key that was
	// added since may be missing.
	maxRulesAge = 3 * time.Second
	// answerReadTimeout is how long after its deadline a request's answer may take to be read by the caller.
	answerReadTimeout = 5 * time.Second
	// chargeShare is the share of a request's time within which its team's quota must be charged.
	chargeShare = 0.3
)

// errHostStopping is the cancellation cause of requests whose host stops.
var errHostStopping = merry.Sentinel("proxy: the host is stopping")

// Proxy serves callers. Its fields are set before the first request.
type Proxy struct {
	// Decode reads a request's fields from its headers; an error is the caller's fault.
	Decode func(r *http.Request) (demand.Demand, error)
	// Headers returns the headers that an upstream gets beside the caller's: the expected incarnation, the time left, the version that must
	// be loaded (0 for any), and the id of the last event that was passed on.
	Headers func(id string, left time.Duration, version int, last string) http.Header
	// TeamHeaders returns a caller's headers with the name of its team (empty for none) in place of its key. It is used where the
	// configuration requires keys.
	TeamHeaders func(h http.Header, team string) http.Header
	// DecodeNotice reads what an upstream announces about itself in the headers of an answer.
	DecodeNotice func(status int, h http.Header) (notice.Notice, error)
	// Send sends a request to an upstream, unless stillUsable reports false once the connection is open, and with the additional headers of that moment.
	Send func(ctx context.Context, addr string, d demand.Demand, headers func() http.Header, stillUsable func() bool) (resp.Resp, error)
	// CanLoad reports whether an engine has an owner that can be asked for loads.
	CanLoad func(id string) bool
	// Admit has an adapter loaded where needed and returns once the prompt may be sent.
	Admit func(ctx context.Context, w intent.Intent) error
	// EndTurn reports that a turn has ended, or that a request at a brittle upstream has.
	EndTurn func(s spent.Spent)
	// Permit counts a request at an upstream without an owner that has a rate limit or is brittle; intent.ErrPromptQueueFull carries the
	// time until there is room.
	Permit func(ctx context.Context, w intent.Intent) error
	// AnnounceLimit tells the other hosts that an upstream's limit, or whether it is brittle, has changed.
	AnnounceLimit func(id string)
	// Charge counts a request against its team's limit; refund must be called if the request turns out not to have run.
	Charge func(ctx context.Context, t team.Team, version int64, units float64) (refund func(), refusal *refuse.Refusal)
	// RecordOrigin takes where a stream has begun.
	RecordOrigin func(b began.Began)
	// FindBuild returns the build of a group that began the stream whose first event answered an attempt; ok is false if nobody knows.
	FindBuild func(ctx context.Context, attempt, group string) (build string, ok bool)
	// RecentBuilds returns the builds of a group that other hosts may not know of yet.
	RecentBuilds func(group string) []string
	// Use marks an adapter of an engine as in use until done is called.
	Use func(id, adapter string) (done func())
	// Closing is done when the host stops too soon to finish another request: those that have not run yet get their final answers then.
	Closing context.Context
	// Stopping is done when the host is about to stop: requests whose answers have not begun get their final answers then.
	Stopping context.Context
	// WithDeadline is context.WithDeadline, or a replacement in tests.
	WithDeadline func(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc)
	// VersionGrace returns how long an adapter's older version may serve after a newer one was configured.
	VersionGrace func() time.Duration
	View         func() view.View
	// ViewAge returns the age of the newest reading of the upstreams that this host uses, its own or another host's.
	ViewAge func() time.Duration
	// StoreDown reports whether the store did not answer the last reading.
	StoreDown func() bool
	// AnswerRoom bounds the bytes of answers that are read whole, of all requests together.
	AnswerRoom *semaphore.Weighted
	// Part returns the room that the connection of a request holds; it may be nil.
	Part func(ctx context.Context) *room.Room
	// Widen lets more bytes wait on the connection of a request whose long body is read.
	Widen func(ctx context.Context) error
	// Started is when this host began to read the store.
	Started time.Time
	Holds   *holds.Holds
	Pick    *pick.Pick
	Spare   *spare.Spare
	Ration  *ration.Ration
	Flight  *flight.Flight
	Avoid   *avoid.Avoid
	Guard   *guard.Guard
	Speeds  *speeds.Speeds
	Log     *zap.Logger
	// RequestLog gets one line for each request, at its end.
	RequestLog *zap.Logger
	Stats      *stats.Stats

	replicaTimes replicaTimes
	inFlight     inFlight
}

// ServeHTTP serves one caller's request.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &job{w: w, start: time.Now(), part: p.Part(r.Context())}
	refusal := p.accept(r, j)
	p.setDeadlines(w, r, j.deadline())
	p.inFlight.add(j)
	defer p.inFlight.remove(j)
	defer p.releaseBody(j)
	if refusal == nil {
		refusal = p.receive(w, r, j)
	}
	if refusal != nil {
		p.refuse(w, j, refusal)
		return
	}
	ctx, cancelCause := context.WithCancelCause(r.Context())
	defer cancelCause(nil)
	ctx, cancel := p.WithDeadline(ctx, j.deadline())
	defer cancel()
	j.detachFromStop = context.AfterFunc(p.Stopping, func() { cancelCause(errHostStopping) })
	defer j.detachFromStop()
	if refusal := p.charge(ctx, j); refusal != nil {
		p.refuse(w, j, refusal)
		return
	}
	p.serve(ctx, j)
}

// accept decodes a request's headers and matches its route, or returns why it is refused.
func (p *Proxy) accept(r *http.Request, j *job) *refuse.Refusal {
	req, err := p.Decode(r)
	j.req = req
	if err != nil {
		return refuse.NewRefusal(verd.NotRun, refuse.BadRequest, "%v", err)
	}
	j.view, j.passed = p.View(), events.NewPassed(req.LastSeen)
	if refusal := p.closing(j); refusal != nil {
		return refusal
	}
	if !j.view.HasRules() {
		return refuse.NewRefusal(verd.NotRun, refuse.NoUpstream, "no configuration yet").WithRetry(p.noConfigRetry(j.start))
	}
	path, _, _ := strings.Cut(req.URI, "?")
	matched, ok := j.view.Rules.Match(req.Host, path)
	if !ok {
		return refuse.NewRefusal(verd.NotRun, refuse.NoRoute, "no route for %s%s in version %d", req.Host, path, j.view.Rules.Version)
	}
	j.route = matched
	j.group = matched.Group(hash(cmp.Or(req.Resumes, req.ID)))
	return nil
}

// receive authenticates a request and reads its body, or returns why it is refused.
func (p *Proxy) receive(w http.ResponseWriter, r *http.Request, j *job) *refuse.Refusal {
	if refusal := p.authenticate(j); refusal != nil {
		return refusal
	}
	if refusal := p.readBody(w, r, j); refusal != nil {
		return refusal
	}
	if !j.part.Complete() {
		return noRoom("the caller sent too slowly while others needed its place")
	}
	if refusal := p.closing(j); refusal != nil {
		return refusal // the rest of a body may come long after its begin
	}
	j.ident = ident.NewIdent(j.req, j.team.Name, r.RemoteAddr)
	return p.blocked(j)
}

// charge counts the request against its team's limit. Over the limit it is refused before it takes a turn or a load.
func (p *Proxy) charge(ctx context.Context, j *job) *refuse.Refusal {
	if !j.team.Limited() {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, j.start.Add(time.Duration(chargeShare*float64(j.sendDeadline().Sub(j.start)))))
	defer cancel()
	j.units = j.team.Units(j.req.Prompt, j.req.Most)
	refund, refusal := p.Charge(ctx, j.team, j.view.Rules.Version, j.units)
	j.refund = refund
	outcome := "granted"
	if refusal != nil {
		outcome = refusal.Code
	}
	p.Stats.Add(stats.Units, int64(j.units), "team", j.team.Name, "outcome", outcome)
	return refusal
}

// authenticate finds the team that a request belongs to. Upstreams get the team's name, never the key.
func (p *Proxy) authenticate(j *job) *refuse.Refusal {
	rules := j.view.Rules
	if !rules.Guarded {
		return nil
	}
	t, ok := rules.Holder(j.req.Key)
	if age := p.ViewAge(); !ok && !j.route.Public && age > maxRulesAge {
		return refuse.NewRefusal(verd.NotRun, refuse.NoUpstream,
			"%v that no team held %v ago, in version %d", j.req.Key, age, rules.Version).
			WithRetry(minStoreDownRetry)
	}
	if !ok && !j.route.Public {
		return refuse.NewRefusal(verd.NotRun, refuse.Unauthorized,
			"%v that no team holds in version %d", j.req.Key, rules.Version)
	}
	j.team = t
	j.req.Header = p.TeamHeaders(j.req.Header, t.Name)
	return nil
}

// noConfigRetry returns the Retry-After of a request that came before the host has a configuration.
func (p *Proxy) noConfigRetry(now time.Time) time.Duration {
	minRetry := minNoConfigRetry
	if p.StoreDown() {
		minRetry = minStoreDownRetry
	}
	return min(maxNoConfigRetry, max(minRetry, now.Sub(p.Started)))
}

// setDeadlines sets the deadlines for reading the request's body and for writing its answer. Otherwise a caller that stops
// sending or reading could hold memory and a place at the engine forever. This comes before any refusal: the server reads the
// body of a refused request, too, before it writes the refusal.
func (p *Proxy) setDeadlines(w http.ResponseWriter, r *http.Request, deadline time.Time) {
	control := http.NewResponseController(w)
	if err := control.SetWriteDeadline(deadline.Add(answerReadTimeout)); err != nil {
		p.Log.Debug("write deadline not set", zap.Error(err))
	}
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	if err := control.SetReadDeadline(deadline); err != nil {
		p.Log.Debug("read deadline not set", zap.Error(err))
	}
}

// hash is a stable hash: a request, its repeats and what resumes its stream get the same group of a split route, and an adapter the same
// engines.
func hash(text string) uint32 {
	sum := fnv.New32a()
	sum.Write([]byte(text))
	return sum.Sum32()
}
