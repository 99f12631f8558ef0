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

// held is a runner that this node owns, or that it has released while its requests still run there.
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
	late     map[string]time.Time // models with an unload that got no answer and may still take effect, and since when
	steady   time.Time            // since when the engine has reported without a gap; zero if it does not
	orders   map[string]bool      // models with an order in progress
	unloads  []string             // unloads that are not announced yet
	fencedAt time.Time            // since when the engine is known to reject older fencing tokens
	patient  map[string]func()    // raises the priority of a load that no request waited for when it was ordered
	shown    time.Time            // when the engine was last sent an order only to show it the fencing token
	failures int                  // reports missed in a row
	number   int64
	plain    bool // a plain service: no reports, no orders
	leaving  bool // closed to new starts by the operators
	dirty    bool // row has changed since it was written
	asking   bool // a report has been requested
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
	// The unloads that the earlier owner announced stay in the row, beside those of this owner.
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

// find returns the runner that is or was held under a fencing token.
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

// dropClosed forgets released runners once their last request has ended and their last order is answered. Before that, a successor must be told
// of an unload in progress, or it would start requests on that model.
func (o *Owner) dropClosed() {
	var left []*held
	for _, h := range o.closing {
		if len(h.attempts)+len(h.orders) > 0 {
			left = append(left, h)
		}
	}
	o.closing = left
}
