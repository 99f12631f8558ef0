// Package entry serves callers: it checks their requests, sends them on and carries the answers back.
package entry

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/answer"
	"damaskreach/internal/call"
	"damaskreach/internal/catlog"
	"damaskreach/internal/digest"
	"damaskreach/internal/sess"
	"damaskreach/internal/timing"
	"damaskreach/pkg/refuse"
)

// Headers callers use.
const (
	HeaderRequest  = "X-Request-Id"      // names the request in logs and explanations; made up where absent
	HeaderKey      = "Idempotency-Key"   // repeats with one key are answered once
	HeaderOnce     = "X-Non-Idempotent"  // "true": at most one dispatch
	HeaderPriority = "X-Priority"        // integer, higher is more urgent
	HeaderTimeout  = "X-Request-Timeout" // duration such as "5s" after which no answer is wanted
	HeaderClass    = "X-Class"           // traffic class, for metrics and fair shares
	HeaderReplayed = "X-Replayed"        // "true" on the answer to a repeat
	HeaderVerdict  = "X-Verdict"         // on answers: whether the request may have run
)

// Entry is the callers' side of a node. The fields are set before Handler and not changed afterwards.
type Entry struct {
	MaxBody     int64         // bytes of a request body
	MaxRequest  time.Duration // longest allowed request
	EntriesLife time.Duration // stated life of a discovery answer
	RetryShare  float64       // retries as a share of requests
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

// Handler returns the callers' routes.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveModel)
	mux.HandleFunc("POST /v1/chat/completions", e.serveModel)
	mux.HandleFunc("GET /v1/models", e.serveModels)
	mux.HandleFunc("GET /v1/entries", e.serveEntries)
	mux.HandleFunc("/plain/{group}/{path...}", e.servePlain)
	mux.HandleFunc("/", e.serveUnknown)
	return e.count(mux)
}

func (e *Entry) serveUnknown(w http.ResponseWriter, r *http.Request) {
	e.reject(w, r, call.Call{}, badRequest("no route for %s %s", r.Method, r.URL.Path))
}
