package owner

import (
	"time"

	"damaskreach/internal/assign"
	"damaskreach/internal/call"
	"damaskreach/internal/engine"
	"damaskreach/internal/runner"
	"damaskreach/internal/sched"
	"damaskreach/pkg/refuse"
)

// held is a runner this node owns or has owned while its requests still run.
type held struct {
	spec     runner.Runner // as of the takeover
	fence    int64
	session  string // this node's session at the takeover; row belongs to the control goroutine, this may be read by others
	row      assign.Assignment
	rev      int64 // revision of row
	sched    *sched.Sched
	engine   engine.Engine
	attempts map[string]*attempt
	formers  map[string]*former   // earlier owners not known to have stopped, by session id
	pinned   map[string]bool      // models earlier owners may still use
	barred   []string             // models an earlier owner may be unloading
	late     map[string]time.Time // models with an unload that has no answer and may still arrive, and since when
	steady   time.Time            // since when the engine's reports have come without a gap; zero while they do not
	orders   map[string]bool      // models with an order of this node on its way
	unloads  []string             // unloads that wait for their announcement
	fencedAt time.Time            // since when the engine is known to refuse older fences
	patient  map[string]func()    // hurries the load of a model that nobody waited for when it was ordered
	shown    time.Time            // when the engine was last sent an order for no more than its fence
	failures int                  // reports missed in a row
	number   int64
	plain    bool // a plain service: no reports, no orders
	leaving  bool // closed to new starts by the operators
	dirty    bool // row has changed since it was written
	asking   bool // a report is on its way
}

// attempt is one dispatch of a call that waits for its start or runs.
type attempt struct {
	call    call.Call
	started bool
	decided chan *refuse.Refusal // nil means start; holds one decision
}

func newAttempt(c call.Call) *attempt {
	return &attempt{call: c, decided: make(chan *refuse.Refusal, 1)}
}

func (o *Owner) newHeld(r runner.Runner, row assign.Assignment, rev int64) *held {
	h := &held{
		spec:     r,
		fence:    row.Fence,
		session:  row.Session,
		row:      row,
		rev:      rev,
		sched:    sched.NewVariant(r, o.tune, o.Policy),
		engine:   o.Connect(r),
		attempts: map[string]*attempt{},
		formers:  map[string]*former{},
		orders:   map[string]bool{},
		patient:  map[string]func(){},
		late:     map[string]time.Time{},
	}
	// What the earlier owner announced stays named in this owner's row beside what this one announces.
	h.row = row.WithLate(row.Unload).WithUnload("")
	h.barred = h.row.Late
	g, _ := o.Catalog().Group(r.Group)
	h.plain = g.Plain
	for _, f := range row.Formers {
		h.formers[f.Session] = &former{session: f.Session, peer: f.Peer}
	}
	h.sched.HoldUnloads(len(h.formers) > 0)
	for _, model := range h.barred {
		h.sched.Block(model)
	}
	return h
}

// find returns the runner held or given up under a fence.
func (o *Owner) find(name string, fence int64) *held {
	if h := o.held[name]; h != nil && h.fence == fence {
		return h
	}
	for _, h := range o.closing {
		if h.spec.Name == name && h.fence == fence {
			return h
		}
	}
	return nil
}

// dropClosed forgets runners given up once their last request has ended and their last order is answered.
// A successor that was told of nothing while an unload is on its way would start requests on that model.
func (o *Owner) dropClosed() {
	var left []*held
	for _, h := range o.closing {
		if len(h.attempts)+len(h.orders) > 0 {
			left = append(left, h)
		}
	}
	o.closing = left
}
