package proxy_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"damaskreach/internal/avoid"
	"damaskreach/internal/began"
	"damaskreach/internal/demand"
	"damaskreach/internal/flight"
	"damaskreach/internal/guard"
	"damaskreach/internal/holds"
	"damaskreach/internal/intent"
	"damaskreach/internal/kinds"
	"damaskreach/internal/model"
	"damaskreach/internal/notice"
	"damaskreach/internal/pick"
	"damaskreach/internal/pool"
	"damaskreach/internal/proxy"
	"damaskreach/internal/ration"
	"damaskreach/internal/resp"
	"damaskreach/internal/room"
	"damaskreach/internal/route"
	"damaskreach/internal/rules"
	"damaskreach/internal/spare"
	"damaskreach/internal/speed"
	"damaskreach/internal/speeds"
	"damaskreach/internal/spent"
	"damaskreach/internal/stats"
	"damaskreach/internal/target"
	"damaskreach/internal/used"
	"damaskreach/internal/view"
	"damaskreach/pkg/verd"
)

// Headers of the fake protocol.
const (
	headID        = "Fake-Id"
	headLastEvent = "Fake-Last"
	headParts     = "Fake-Parts"   // parts of the prompt that other requests may share
	headResumes   = "Fake-Resumes" // attempt that brought the stream's first event
	headNotRun    = "Fake-Not-Run"
	headTarget    = "Fake-For"
	headVersion   = "Fake-Version"
	headPause     = "Fake-Rest" // pause that the upstream asks for
	headLimit     = "Fake-Most" // requests per second that the upstream accepts
)

// sent is a request as an upstream received it.
type sent struct {
	addr  string
	extra http.Header
	d     demand.Demand
}

// bench is a Proxy between a caller and fake upstreams.
type bench struct {
	*proxy.Proxy
	t     *testing.T
	ctx   context.Context // of the caller; nil means the test's
	start time.Time

	mu           sync.Mutex
	view         view.View
	answers      []func(s sent) (resp.Resp, error)
	sent         []sent
	loads        []intent.Intent
	loadErr      error
	permitAsks   []string                 // upstreams whose permits were requested
	limitWaits   map[string]time.Duration // time until an upstream's limit has room
	permitErr    error
	turnWaits    map[string]time.Duration // for a turn at each engine
	busy         map[string]bool          // engines without a turn in time
	storeDown    bool                     // the store does not answer
	builds       map[string]string        // builds that began streams, by attempt
	crashed      map[string]bool          // addresses at which nothing listens any more
	recentBuilds []string                 // that other hosts may not know of
	origins      []began.Began            // streams that have begun
	dial         func(addr string)        // called when a connection is opened; may be nil
}

var errLeaving = errors.New("the upstream has begun to leave")

func newBench(t *testing.T, rt route.Route) *bench {
	rt.Host, rt.Prefix, rt.Groups, rt.Weights = "a.example", "/p/", []string{"g"}, []int{1}
	if rt.Timeout == 0 {
		rt.Timeout = 10 * time.Second
	}
	b := &bench{t: t, start: time.Now()}
	b.view = view.View{
		Rules: rules.Rules{
			Version: 1, Routes: map[string][]route.Route{"a.example": {rt}},
			Pools: map[string]pool.Pool{"g": {Name: "g", Engine: true, Models: []model.Model{{Name: "m"}}, MaxAdapters: 4}},
		},
		Targets: map[string]target.Target{},
	}
	b.add("one", nil)
	b.add("two", nil)
	b.Proxy = &proxy.Proxy{
		Decode: func(r *http.Request) (demand.Demand, error) {
			return demand.Demand{
				ID: "r1", Method: r.Method, Host: r.Host, URI: r.RequestURI, Header: http.Header{}, Model: r.Header.Get("M"),
				Parts:   strings.Fields(r.Header.Get(headParts)),
				Adapter: r.Header.Get("A"), LastSeen: r.Header.Get(headLastEvent), Resumes: r.Header.Get(headResumes),
			}, nil
		},
		Headers: func(id string, left time.Duration, version int, last string) http.Header {
			h := http.Header{headTarget: {id}, "Left": {left.String()}}
			if last != "" {
				h.Set(headLastEvent, last)
			}
			if version > 0 {
				h.Set(headVersion, "new")
			}
			return h
		},
		DecodeNotice: b.notice, Ration: ration.NewRation(func() time.Duration { return time.Since(b.start) }),
		Flight: flight.NewFlight(func() time.Duration { return time.Since(b.start) }), Avoid: avoid.NewAvoid(), Permit: b.permit,
		AnnounceLimit: func(string) {},
		RecordOrigin:  func(o began.Began) { b.origins = append(b.origins, o) },
		FindBuild: func(_ context.Context, attempt, _ string) (string, bool) {
			build, ok := b.builds[attempt]
			return build, ok
		},
		RecentBuilds: func(string) []string { return b.recentBuilds },
		Send:         b.do, CanLoad: func(string) bool { return true }, Admit: b.load, EndTurn: func(spent.Spent) {},
		Guard: b.newGuard(), Speeds: speeds.NewSpeeds(&speed.Speed{}), Use: func(string, string) func() { return func() {} },
		Closing: context.Background(), Stopping: context.Background(), WithDeadline: context.WithDeadline,
		VersionGrace: func() time.Duration { return 2 * time.Second }, View: func() view.View { return b.view },
		Holds: holds.NewHolds(), Pick: pick.NewPick("dc"), Log: zap.NewNop(), RequestLog: zap.NewNop(),
		StoreDown: func() bool { return b.storeDown },
		ViewAge:   func() time.Duration { return 0 },
		Spare: &spare.Spare{
			Hosts: func() int { return 1 }, Part: func() (used.Used, bool) { return used.Used{}, true }, Heard: func(string) time.Time { return time.Now() },
			Clock: func() time.Duration { return time.Since(b.start) },
			Bound: func() (float64, float64, time.Duration) { return 0.2, 100, 10 * time.Second },
		},
		Stats: stats.NewStats(), AnswerRoom: semaphore.NewWeighted(1 << 30), Part: func(context.Context) *room.Room { return nil },
		Widen: func(context.Context) error { return nil },
	}
	return b
}

func (b *bench) newGuard() *guard.Guard {
	g := guard.NewGuard("host")
	g.Crashed, g.Log = func(addr string) bool { return b.crashed[addr] }, zap.NewNop()
	return g
}

// add registers an upstream that holds adapters.
func (b *bench) add(id string, adapters map[string]int) {
	b.view.Targets[id] = target.Target{
		ID: id, Incarnation: 1, Group: "g", Addr: id + ":1", Centre: "dc", Slots: 4, Models: []string{"m"}, Adapters: adapters,
	}
}

// setBuild registers an upstream again, with a build of its software.
func (b *bench) setBuild(id, build string) {
	t := b.view.Targets[id]
	t.Build = build
	b.view.Targets[id] = t
}

func (b *bench) do(_ context.Context, addr string, d demand.Demand, headers func() http.Header, still func() bool) (resp.Resp, error) {
	if b.dial != nil {
		b.dial(addr)
	}
	if !still() {
		return resp.Resp{}, verd.Mark(errLeaving, verd.NotRun)
	}
	b.mu.Lock()
	s := sent{addr, headers(), d}
	b.sent = append(b.sent, s)
	var next func(s sent) (resp.Resp, error)
	if len(b.answers) > 0 {
		next = b.answers[0]
		b.answers = b.answers[1:]
	}
	b.mu.Unlock()
	if next == nil {
		b.t.Fatalf("send %d to %s, want none", len(b.sent), addr)
	}
	return next(s)
}

// notice decodes an upstream's announcements.
func (b *bench) notice(status int, h http.Header) (n notice.Notice, err error) {
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

// permit counts a request at an upstream with a limit.
func (b *bench) permit(_ context.Context, w intent.Intent) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.permitAsks = append(b.permitAsks, w.EngineID)
	if wait := b.limitWaits[w.EngineID]; wait > 0 {
		return intent.NewPromptQueueFull(wait)
	}
	return b.permitErr
}

func (b *bench) load(_ context.Context, w intent.Intent) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads = append(b.loads, w)
	if b.busy[w.EngineID] {
		return intent.ErrLoadQueueFull
	}
	if wait := b.turnWaits[w.EngineID]; w.MaxPromptWait > 0 && wait > w.MaxPromptWait {
		return intent.NewPromptQueueFull(wait)
	}
	return b.loadErr
}

// setAnswers sets the upstreams' answers in the order of the sends.
func (b *bench) setAnswers(answers ...func(s sent) (resp.Resp, error)) {
	b.answers = answers
}

// call sends one request and returns the answer; broken reports that the host broke the connection off.
func (b *bench) call(header http.Header) (rec *httptest.ResponseRecorder, broken bool) {
	ctx := b.ctx
	if ctx == nil {
		ctx = b.t.Context()
	}
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/p/x?q=%2f", nil)
	r.Host = "a.example"
	r.Header = header
	if header == nil {
		r.Header = http.Header{}
	}
	rec = httptest.NewRecorder()
	defer func() {
		if v := recover(); v != nil {
			if v != http.ErrAbortHandler {
				panic(v)
			}
			broken = true
		}
	}()
	b.ServeHTTP(rec, r)
	return rec, false
}

// answers returns a send that is answered with a status, headers and a body that ends with err.
func answers(status int, h http.Header, body string, err error) func(s sent) (resp.Resp, error) {
	return func(sent) (resp.Resp, error) {
		if h == nil {
			h = http.Header{}
		}
		r := io.Reader(strings.NewReader(body))
		if err != nil {
			r = io.MultiReader(r, errReader{err})
		}
		return resp.Resp{Status: status, Header: h, Body: r, Rejected: h.Get(headNotRun) != "", Named: true, Cut: func() {}, Close: func() {}}, nil
	}
}

// failsWith returns a send without an answer.
func failsWith(err error) func(s sent) (resp.Resp, error) {
	return func(sent) (resp.Resp, error) { return resp.Resp{}, err }
}

type errReader struct{ err error }

func (f errReader) Read([]byte) (int, error) { return 0, f.err }

func streamRoute() route.Route {
	return route.Route{Kind: kinds.Stream, Resumable: true, Attempts: 2, Target: time.Second, Gap: 300 * time.Millisecond}
}

// wantMetrics checks that some line of the metrics ends with each of the texts.
func (b *bench) wantMetrics(ends ...string) {
	b.t.Helper()
	var page strings.Builder
	if err := b.Stats.Write(&page); err != nil {
		b.t.Fatalf("metrics: %v", err)
	}
	for _, end := range ends {
		if !strings.Contains(page.String(), end+"\n") {
			b.t.Errorf("no metric ends in %q:\n%s", end, page.String())
		}
	}
}
