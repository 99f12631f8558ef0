// Package engsim is a stand-in for a model engine: adapter slots, continuous batching and streamed answers.
package engsim

import (
	"context"
	"net/http"
	"sync"
	"time"

	"damaskreach/internal/stand/recrd"
	"damaskreach/internal/stand/uptime"
)

const (
	defaultSlots   = 8
	defaultBatch   = 16
	defaultWaiting = 256
	defaultTokens  = 16
	defaultCached  = 64
)

const (
	defaultStep    = 8 * time.Millisecond
	defaultRequest = 500 * time.Microsecond
	defaultAdapter = time.Millisecond
	defaultPrefill = 20 * time.Millisecond
	defaultLag     = 2 * time.Second
	defaultRestart = 5 * time.Second
)

// Engine is an http.Handler. Its exported fields are settings, to be changed before it serves.
type Engine struct {
	Slots      int           // adapter slots
	Batch      int           // requests a step holds at the most
	Waiting    int           // requests queued at the most; more are refused as not started
	Cached     int           // prompt prefixes remembered at the most
	Fences     bool          // refuses orders and starts that carry an old fencing number
	Forgets    bool          // loses the highest fencing number in a crash
	Step       time.Duration // of each step, whatever it holds
	PerRequest time.Duration // added to a step for each request in it
	PerAdapter time.Duration // added to a step for each distinct model in it
	Prefill    time.Duration // added to a step for each request that joins it with an unknown prefix
	Lag        time.Duration // age of reports, and delay of prefix-cache events
	Restart    time.Duration // from a crash until requests are accepted again
	Poison     string        // a prompt that contains it crashes the engine; empty for none

	// Fetch loads a model's weights; nil takes no time and never fails.
	Fetch func(ctx context.Context, model string) error
	// Length chooses how many tokens an answer has, of the most that were asked for; nil means all of them.
	Length func(prompt string, most int) int

	mux     *http.ServeMux
	power   *uptime.Uptime
	mu      sync.Mutex
	boot    *boot
	fence   int64
	slow    float64 // factor on the time of a step
	fails   int     // loads still to fail
	seq     int64   // arrivals, for the order among equal priorities
	log     []recrd.Record
	wrong   []recrd.Record
	unloads []recrd.Record
	past    []snapshot
	stepped int // steps made
}

// NewEngine returns an engine with nothing loaded and middling settings.
func NewEngine() *Engine {
	e := &Engine{
		Slots:      defaultSlots,
		Batch:      defaultBatch,
		Waiting:    defaultWaiting,
		Cached:     defaultCached,
		Fences:     true,
		Step:       defaultStep,
		PerRequest: defaultRequest,
		PerAdapter: defaultAdapter,
		Prefill:    defaultPrefill,
		Lag:        defaultLag,
		Restart:    defaultRestart,
		power:      uptime.NewUptime(),
		slow:       1,
	}
	e.boot = newBoot(e.power.Boot())
	e.mux = e.routes()
	return e
}

// boot is what lives from one start of the engine to its next crash.
type boot struct {
	ctx     context.Context
	id      string
	models  map[string]bool // resident
	loading map[string]*loading
	running []*run // requests in the current batch
	waiting []*run
	stepped bool          // the step loop is running
	idle    chan struct{} // holds one signal that the last run has left
	cache   *cache
}

func newBoot(ctx context.Context, id string) *boot {
	return &boot{
		ctx:     ctx,
		id:      id,
		models:  make(map[string]bool),
		loading: make(map[string]*loading),
		idle:    make(chan struct{}, 1),
		cache:   newCache(),
	}
}
