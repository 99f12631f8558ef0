// Package direct serves callers by sending each request straight to an upstream.
//
// An engine guards its own adapters: an unload waits for the requests that use the adapter, and a request for what the
// engine does not hold is rejected as not run. So no other host stands between the one that the caller reached and the
// engine: one hop less for each event, and no stream ends with the host of somebody else.
package direct

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"damaskreach/internal/avoid"
	"damaskreach/internal/blame"
	"damaskreach/internal/demand"
	"damaskreach/internal/flight"
	"damaskreach/internal/holds"
	"damaskreach/internal/intent"
	"damaskreach/internal/notice"
	"damaskreach/internal/pick"
	"damaskreach/internal/ration"
	"damaskreach/internal/resp"
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
	// leastNoConf and mostNoConf bound when to come back to a host that knows no configuration yet: after as long as it has
	// tried to read one. Right after the start that is some calls to the store; where the store is away, a caller that
	// may come back only once should not do so while it still is.
	leastNoConf = 500 * time.Millisecond
	mostNoConf  = 3 * time.Second
	// leastAway is the same where the store does not answer: outages that a host meets at its start last for seconds, and most
	// callers come back once only.
	leastAway = 2 * time.Second
	// elsewhere is when to come back from a host that stops: at once, since another one gets the request.
	elsewhere = 20 * time.Millisecond
	// suspect is when a request may be tried again that seems to crash upstreams: its record has ended then.
	suspect = 2 * time.Minute
	// comeBack is when to come back where nothing better is known: about the time in which a crashed upstream's neighbours
	// take over or a load completes.
	comeBack = 700 * time.Millisecond
	// inForce is how old what a host knows of the configuration may be for it to tell that a key does not exist: operators may have
	// added it since.
	inForce = 3 * time.Second
	// readFor is how long after its request's time a caller may take to read the answer.
	readFor = 5 * time.Second
	// chargeShare is the part of a request's time within which somebody must tell whether its team may ask.
	chargeShare = 0.3
)

// errEnding is why a request ends whose host does.
var errEnding = merry.Sentinel("direct: the host ends")

// Direct serves callers. Its fields are set before the first request.
type Direct struct {
	// Decode takes the fields of a request from its headers; its error is the caller's fault.
	Decode func(r *http.Request) (demand.Demand, error)
	// Headers returns what goes beside the caller's headers to an upstream: the incarnation that must have the address, the
	// time left, the version that must be loaded (0 for any), and the last event that was passed on.
	Headers func(id string, left time.Duration, version int, last string) http.Header
	// OnBehalf returns a caller's headers as they go to an upstream in the name of a team, empty for none: without the caller's key. It is
	// used where the configuration asks callers for keys.
	OnBehalf func(h http.Header, team string) http.Header
	// NotRun reports whether an upstream's answer says that it did not run the request.
	NotRun func(status int, h http.Header) bool
	// Notice decodes what an upstream says of itself beside an answer.
	Notice func(status int, h http.Header) (notice.Notice, error)
	// Do sends a request to an upstream, unless still says by then that it may not get any more.
	Do func(ctx context.Context, addr string, d demand.Demand, extra http.Header, still func() bool) (resp.Resp, error)
	// Owner reports whether loads on an engine can be asked for now.
	Owner func(id string) bool
	// Admit has an adapter loaded and returns once a prompt may be sent.
	Admit func(ctx context.Context, w intent.Intent) error
	// Spent tells that a turn has ended.
	Spent func(s spent.Spent)
	// Permit has a request counted at an upstream that names a limit, or is brittle, and has no host that gives it orders; an ErrCrowded tells how long it
	// will be until there is room. Spent tells that a request at a brittle one has ended.
	Permit func(ctx context.Context, w intent.Intent) error
	// TellLimit tells other hosts that an upstream has begun to name a limit or to be brittle, or has ceased to.
	TellLimit func(id string)
	// Charge counts a request against the limit of its team; back must be called where it turns out not to have run.
	Charge func(ctx context.Context, t team.Team, version int64, units float64) (back func(), refusal *refuse.Refusal)
	// Use records that a request uses an adapter at an engine, until done is called.
	Use func(id, adapter string) (done func())
	// Late reports whether the host leaves too soon to serve another request to its end.
	Late func() bool
	// Ending is done when the host is about to end: requests whose answers have not begun get their final answers then.
	Ending context.Context
	// Bound returns a request's context with the time by which it must be answered: context.WithDeadline.
	Bound func(ctx context.Context, until time.Time) (context.Context, context.CancelFunc)
	// Grace returns how long requests may go to an older version of an adapter after a newer one was named.
	Grace func() time.Duration
	View  func() view.View
	// Blames waits until it is plain whether an upstream is to blame that broke off, or fell silent, under what was sent to it at a time, and reports whether it
	// is; nil means that it always is.
	Blames func(addr string, sent, failed time.Time, silent bool) bool
	// Age returns how old the newest reading of the upstreams is that this host relies on, its own or another one's.
	Age func() time.Duration
	// Away reports whether the store did not answer the last reading.
	Away func() bool
	// Started is when this host began to read the store.
	Started time.Time
	Holds   *holds.Holds
	Pick    *pick.Pick
	Spare   *spare.Spare
	Ration  *ration.Ration
	Flight  *flight.Flight
	Avoid   *avoid.Avoid
	Blame   *blame.Blame
	Speeds  *speeds.Speeds
	Log     *zap.Logger
	// Requests takes the line that every request ends with.
	Requests *zap.Logger
	Stats    *stats.Stats

	spread spread
	under  under
}

// ServeHTTP serves one request of a caller.
func (x *Direct) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &job{w: w, begun: time.Now()}
	refusal := x.accept(r, j)
	x.bound(w, r, j.deadline())
	x.under.add(j)
	defer x.under.remove(j)
	if refusal == nil {
		refusal = x.receive(w, r, j)
	}
	if refusal != nil {
		x.refuse(w, j, refusal)
		return
	}
	ctx, end := context.WithCancelCause(r.Context())
	defer end(nil)
	ctx, cancel := x.Bound(ctx, j.deadline())
	defer cancel()
	j.stays = context.AfterFunc(x.Ending, func() { end(errEnding) })
	defer j.stays()
	if refusal := x.charge(ctx, j); refusal != nil {
		x.refuse(w, j, refusal)
		return
	}
	x.serve(ctx, j)
}

// accept finds out from a request's head what it asks for and by which route it goes, or why it is refused.
func (x *Direct) accept(r *http.Request, j *job) *refuse.Refusal {
	d, err := x.Decode(r)
	j.d = d
	if err != nil {
		return refuse.NewRefusal(verd.NotRun, refuse.BadRequest, "%v", err)
	}
	j.view, j.last = x.View(), d.LastSeen
	if x.Late() {
		// Taken, it would be cut off at the end of the grace, and a booking that was cut off may not be sent again.
		return refuse.NewRefusal(verd.NotRun, refuse.Leaving, "this host is about to stop").WithRetry(elsewhere)
	}
	if !j.view.HasRules() {
		return refuse.NewRefusal(verd.NotRun, refuse.NoUpstream, "no configuration yet").WithRetry(x.noConf(j.begun))
	}
	path, _, _ := strings.Cut(d.URI, "?")
	rt, ok := j.view.Rules.Match(d.Host, path)
	if !ok {
		return refuse.NewRefusal(verd.NotRun, refuse.NoRoute, "no route for %s%s in version %d", d.Host, path, j.view.Rules.Version)
	}
	j.route = rt
	j.group = rt.Group(hash(d.ID))
	return nil
}

// receive finds out who sent a request and reads its body, unless it is refused.
func (x *Direct) receive(w http.ResponseWriter, r *http.Request, j *job) *refuse.Refusal {
	if refusal := x.identify(j); refusal != nil {
		return refusal
	}
	if refusal := x.body(w, r, j); refusal != nil {
		return refusal
	}
	j.print = blame.Print(j.d.Method, j.d.Host, j.d.URI, j.d.Adapter, string(j.d.Body))
	if x.Blame.Barred(j.print, time.Now()) {
		return refuse.NewRefusal(verd.NotRun, refuse.Suspect, "upstreams broke off under earlier tries of it").WithRetry(suspect)
	}
	return nil
}

// charge counts the request against its team's limit. Over the limit it is refused at once, before it takes a turn or a load.
func (x *Direct) charge(ctx context.Context, j *job) *refuse.Refusal {
	if !j.team.Limited() {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, j.begun.Add(time.Duration(chargeShare*float64(j.hopeless().Sub(j.begun)))))
	defer cancel()
	j.units = j.team.Units(j.d.Prompt, j.d.Most)
	back, refusal := x.Charge(ctx, j.team, j.view.Rules.Version, j.units)
	j.back = back
	outcome := "granted"
	if refusal != nil {
		outcome = refusal.Code
	}
	x.Stats.Add(stats.Units, int64(j.units), "team", j.team.Name, "outcome", outcome)
	return refusal
}

// identify finds out which team asks. Upstreams are told its name and never the key.
func (x *Direct) identify(j *job) *refuse.Refusal {
	rules := j.view.Rules
	if !rules.Guarded {
		return nil
	}
	t, ok := rules.Holder(j.d.Key)
	if age := x.Age(); !ok && !j.route.Public && age > inForce {
		return refuse.NewRefusal(verd.NotRun, refuse.NoUpstream, "%v that no team held %v ago, in version %d", j.d.Key, age, rules.Version).
			WithRetry(leastAway)
	}
	if !ok && !j.route.Public {
		return refuse.NewRefusal(verd.NotRun, refuse.Unauthorized, "%v that no team holds in version %d", j.d.Key, rules.Version)
	}
	j.team = t
	j.d.Header = x.OnBehalf(j.d.Header, t.Name)
	return nil
}

// noConf returns when a configuration is likely to be there.
func (x *Direct) noConf(now time.Time) time.Duration {
	least := leastNoConf
	if x.Away() {
		least = leastAway
	}
	return min(mostNoConf, max(least, now.Sub(x.Started)))
}

// body reads the whole body: it may have to be sent twice, and the upstream gets its length.
func (x *Direct) body(w http.ResponseWriter, r *http.Request, j *job) *refuse.Refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	limit := j.view.Rules.MaxBody
	if limit <= 0 {
		limit = 1 << 20
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return refuse.NewRefusal(verd.NotRun, refuse.TooLarge, "body over %d bytes", limit)
	}
	if err != nil {
		return refuse.NewRefusal(verd.NotRun, refuse.SlowBody, "reading the body: %v", err)
	}
	j.d.Body = data
	if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil {
		x.Log.Debug("read deadline not cleared", zap.Error(err))
	}
	return nil
}

// bound sets until when a request's body must be there, and somewhat later its answer be read. Without bounds a caller that stops sending or reading
// would hold the request's memory, and its place at the engine, for as long as it likes; the server reads the body of a request that is refused for
// its head, too, before it writes the refusal.
func (x *Direct) bound(w http.ResponseWriter, r *http.Request, until time.Time) {
	control := http.NewResponseController(w)
	if err := control.SetWriteDeadline(until.Add(readFor)); err != nil {
		x.Log.Debug("write deadline not set", zap.Error(err))
	}
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	if err := control.SetReadDeadline(until); err != nil {
		x.Log.Debug("read deadline not set", zap.Error(err))
	}
}

// hash spreads requests over the groups of a split route; an attempt always goes to the same one.
func hash(text string) uint32 {
	sum := fnv.New32a()
	sum.Write([]byte(text))
	return sum.Sum32()
}
