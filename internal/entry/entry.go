// Package entry serves callers: it checks their requests, sends them on and carries the answers back.
package entry

import (
	"context"
	"net/http"
	"path"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/answer"
	"damaskreach/internal/call"
	"damaskreach/internal/catlog"
	"damaskreach/internal/digest"
	"damaskreach/internal/sess"
	"damaskreach/internal/timing"
	"damaskreach/pkg/head"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// Headers callers use; see package head.
const (
	HeaderRequest  = head.Request
	HeaderKey      = head.Key
	HeaderOnce     = head.Once
	HeaderPriority = head.Priority
	HeaderTimeout  = head.Timeout
	HeaderClass    = head.Class
	HeaderReplayed = head.Replayed
	HeaderVerdict  = head.Verdict
)

// Entry is the callers' side of a node. The fields are set before Handler and not changed afterwards.
type Entry struct {
	MaxBody     int64         // bytes of a request body
	MaxHeader   int           // bytes of a request's line and headers
	MaxRequest  time.Duration // longest allowed request
	EntriesLife time.Duration // stated life of a discovery answer
	Log         *zap.Logger

	// Catalog returns the configuration in force.
	Catalog func() catlog.Catalog
	// Choose returns a runner for a call, other than those to avoid.
	Choose func(ctx context.Context, c call.Call, avoid []string) (digest.Digest, error)
	// Run sends a call to the owner of a runner and passes its answer on.
	Run func(ctx context.Context, d digest.Digest, c call.Call, head func(status int, kind string) error, emit func(token int, piece []byte) error) error
	// Admit charges a call to its limits; done settles the charge.
	Admit func(ctx context.Context, c call.Call) (done func(tokens int, ran bool), refusal *refuse.Refusal)
	// Begin claims the idempotency key of a call; see package claim.
	Begin func(ctx context.Context, c call.Call) (end func(ctx context.Context, a *answer.Answer), prior *answer.Answer, err error)
	// Settle tells the home of a call how an attempt ended; a nil outcome is a whole answer.
	Settle func(ctx context.Context, c call.Call, runner string, outcome *refuse.Refusal)
	// Serving returns the nodes that serve callers, best first for a model.
	Serving func(ctx context.Context, model string) ([]sess.Session, error)
	// Closed reports whether this node takes no more requests.
	Closed func() bool
	// Observe records the outcome of a request for metrics.
	Observe func(c call.Call, t timing.Timing, outcome *refuse.Refusal)

	budget budget
	active active
}

type route struct {
	method, path string
	serve        http.HandlerFunc
}

// Handler returns the callers' routes.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, t := range []route{
		{http.MethodPost, "/v1/completions", e.serveModel},
		{http.MethodPost, "/v1/chat/completions", e.serveModel},
		{http.MethodGet, "/v1/models", e.serveModels},
		{http.MethodGet, "/v1/entries", e.serveEntries},
	} {
		mux.HandleFunc(t.method+" "+t.path, t.serve)
		mux.HandleFunc(t.path, e.refuseMethod(t.method))
	}
	mux.HandleFunc("/", e.serveUnknown)
	return e.count(e.check(mux))
}

// check keeps from the mux what it would answer without a verdict, and what it would change: it redirects paths that are
// not in their shortest form and decodes them, so that a plain service would get another path than the caller sent.
func (e *Entry) check(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		group, at, plain := plainPath(r.URL)
		switch {
		case headerSize(r) > e.MaxHeader:
			e.reject(w, r, call.Call{}, refuse.NewRefusal(verd.NotRun, refuse.LargeHeader, "the headers exceed %d bytes", e.MaxHeader))
		case plain:
			e.servePlain(w, r, group, at)
		case path.Clean(r.URL.Path) != r.URL.Path:
			e.serveUnknown(w, r)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func (e *Entry) serveUnknown(w http.ResponseWriter, r *http.Request) {
	e.reject(w, r, call.Call{}, refuse.NewRefusal(verd.NotRun, refuse.NoRoute, "there is no path %s", r.URL.Path))
}

// refuseMethod answers requests to a path that takes another method. The mux by itself would answer in plain text,
// without a verdict.
func (e *Entry) refuseMethod(takes string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Allow", takes)
		e.reject(w, r, call.Call{}, refuse.NewRefusal(verd.NotRun, refuse.BadMethod, "%s takes %s, not %s", r.URL.Path, takes, r.Method))
	}
}
