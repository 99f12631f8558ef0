package direct_test

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

	"damaskreach/internal/avoid"
	"damaskreach/internal/blame"
	"damaskreach/internal/demand"
	"damaskreach/internal/direct"
	"damaskreach/internal/flight"
	"damaskreach/internal/holds"
	"damaskreach/internal/intent"
	"damaskreach/internal/kinds"
	"damaskreach/internal/model"
	"damaskreach/internal/notice"
	"damaskreach/internal/pick"
	"damaskreach/internal/pool"
	"damaskreach/internal/ration"
	"damaskreach/internal/resp"
	"damaskreach/internal/route"
	"damaskreach/internal/rules"
	"damaskreach/internal/spare"
	"damaskreach/internal/speed"
	"damaskreach/internal/speeds"
	"damaskreach/internal/spent"
	"damaskreach/internal/stats"
	"damaskreach/internal/target"
	"damaskreach/internal/view"
	"damaskreach/pkg/verd"
)

// Headers of the fakes' own protocol.
const (
	headID   = "Fake-Id"
	headLast = "Fake-Last"
	headNot  = "Fake-Not-Run"
	headFor  = "Fake-For"
	headVer  = "Fake-Version"
	headRest = "Fake-Rest" // for which the upstream wants nothing
	headMost = "Fake-Most" // requests a second that the upstream takes
)

// sent is one request as an upstream got it.
type sent struct {
	addr  string
	extra http.Header
	d     demand.Demand
}

// bench is a Direct between a caller and upstreams that are functions.
type bench struct {
	*direct.Direct
	t     *testing.T
	ctx   context.Context // of the caller; nil means that of the test
	begun time.Time

	mu        sync.Mutex
	view      view.View
	answers   []func(s sent) (resp.Resp, error)
	sent      []sent
	loads     []intent.Intent
	loadErr   error
	asked     []string                 // upstreams for which a request was to be counted
	full      map[string]time.Duration // until their limits have room
	permitErr error
	waits     map[string]time.Duration // for a prompt at each engine
	busy      map[string]bool          // engines that have no turn in time
	away      bool                     // the store does not answer
	late      bool
	dial      func(addr string) // opens a connection; nil means at once
}

var errLeft = errors.New("the upstream has begun to leave")

func newBench(t *testing.T, rt route.Route) *bench {
	rt.Host, rt.Prefix, rt.Groups, rt.Weights = "a.example", "/p/", []string{"g"}, []int{1}
	if rt.Timeout == 0 {
		rt.Timeout = 10 * time.Second
	}
	b := &bench{t: t, begun: time.Now()}
	b.view = view.View{
		Rules: rules.Rules{
			Version: 1, Routes: map[string][]route.Route{"a.example": {rt}},
			Pools: map[string]pool.Pool{"g": {Name: "g", Engine: true, Models: []model.Model{{Name: "m"}}, MaxAdapters: 4}},
		},
		Targets: map[string]target.Target{},
	}
	b.add("one", nil)
	b.add("two", nil)
	b.Direct = &direct.Direct{
		Decode: func(r *http.Request) (demand.Demand, error) {
			return demand.Demand{
				ID: "r1", Method: r.Method, Host: r.Host, URI: r.RequestURI, Header: http.Header{}, Model: r.Header.Get("M"),
				Adapter: r.Header.Get("A"), LastSeen: r.Header.Get(headLast),
			}, nil
		},
		Headers: func(id string, left time.Duration, version int, last string) http.Header {
			h := http.Header{headFor: {id}, "Left": {left.String()}}
			if last != "" {
				h.Set(headLast, last)
			}
			if version > 0 {
				h.Set(headVer, "new")
			}
			return h
		},
		NotRun: func(status int, h http.Header) bool {
			return h.Get(headNot) != "" || status == http.StatusMisdirectedRequest
		},
		Notice: b.notice, Ration: ration.NewRation(func() time.Duration { return time.Since(b.begun) }), Flight: flight.NewFlight(func() time.Duration { return time.Since(b.begun) }), Avoid: avoid.NewAvoid(), Permit: b.permit, TellLimit: func(string) {},
		Do: b.do, Owner: func(string) bool { return true }, Admit: b.load, Spent: func(spent.Spent) {}, Blame: &blame.Blame{}, Speeds: speeds.NewSpeeds(&speed.Speed{}), Use: func(string, string) func() { return func() {} },
		Late: func() bool { return b.late }, Ending: context.Background(), Bound: context.WithDeadline,
		Grace: func() time.Duration { return 2 * time.Second }, View: func() view.View { return b.view },
		Holds: holds.NewHolds(), Pick: pick.NewPick("dc"), Log: zap.NewNop(), Requests: zap.NewNop(),
		Away:  func() bool { return b.away },
		Age:   func() time.Duration { return 0 },
		Spare: &spare.Spare{Hosts: func() int { return 1 }, Clock: func() time.Duration { return time.Since(b.begun) }, Begun: -10 * time.Second, Bound: func() (float64, float64, time.Duration) { return 0.2, 100, 10 * time.Second }},
		Stats: stats.NewStats(),
	}
	return b
}

// add registers an upstream that holds adapters.
func (b *bench) add(id string, adapters map[string]int) {
	b.view.Targets[id] = target.Target{
		ID: id, Incarnation: 1, Group: "g", Addr: id + ":1", Centre: "dc", Slots: 4, Models: []string{"m"}, Adapters: adapters,
	}
}

func (b *bench) do(_ context.Context, addr string, d demand.Demand, extra http.Header, still func() bool) (resp.Resp, error) {
	if b.dial != nil {
		b.dial(addr)
	}
	if !still() {
		return resp.Resp{}, verd.Mark(errLeft, verd.NotRun)
	}
	b.mu.Lock()
	s := sent{addr, extra, d}
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

// notice decodes what an upstream says of itself.
func (b *bench) notice(status int, h http.Header) (n notice.Notice, err error) {
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

// permit counts a request at an upstream that names a limit.
func (b *bench) permit(_ context.Context, w intent.Intent) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked = append(b.asked, w.EngineID)
	if wait := b.full[w.EngineID]; wait > 0 {
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
	if wait := b.waits[w.EngineID]; w.MaxPromptWait > 0 && wait > w.MaxPromptWait {
		return intent.NewPromptQueueFull(wait)
	}
	return b.loadErr
}

// then sets what the upstreams answer, in the order of the sends.
func (b *bench) then(answers ...func(s sent) (resp.Resp, error)) {
	b.answers = answers
}

// call sends one request and returns the answer; broken reports that the connection was broken off.
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

// answers returns an answer with a status, headers and a body that ends with err.
func answers(status int, h http.Header, body string, err error) func(s sent) (resp.Resp, error) {
	return func(sent) (resp.Resp, error) {
		if h == nil {
			h = http.Header{}
		}
		r := io.Reader(strings.NewReader(body))
		if err != nil {
			r = io.MultiReader(r, failing{err})
		}
		return resp.Resp{Status: status, Header: h, Body: r, Cut: func() {}, Close: func() {}}, nil
	}
}

// fails returns a send without an answer.
func fails(err error) func(s sent) (resp.Resp, error) {
	return func(sent) (resp.Resp, error) { return resp.Resp{}, err }
}

type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }

func streamRoute() route.Route {
	return route.Route{Kind: kinds.Stream, Resumable: true, Attempts: 2, Target: time.Second, Gap: 300 * time.Millisecond}
}

// counted fails the test where a line of the metrics does not end so.
func (b *bench) counted(ends ...string) {
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
