// Package owner acquires, uses and releases the ownership of runners.
//
// All requests and orders for a runner pass through its owner, so the owner's counts are exact although the engine reports late. A lease alone
// does not keep an old owner from doing harm, since the owner may be paused between its check and its send. Three things do:
//   - Ownership changes by compare-and-set on one row, which raises a fencing token that some engines check.
//   - For engines that ignore it, an unload is first written into that row, which fails once ownership has changed. A successor that finds an
//     announced unload starts nothing on that model.
//   - A successor unloads nothing until each earlier owner is known to have stopped.
package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/assign"
	"damaskreach/internal/call"
	"damaskreach/internal/catlog"
	"damaskreach/internal/digest"
	"damaskreach/internal/engine"
	"damaskreach/internal/lease"
	"damaskreach/internal/loop"
	"damaskreach/internal/member"
	"damaskreach/internal/policy"
	"damaskreach/internal/reason"
	"damaskreach/internal/runner"
	"damaskreach/internal/table"
	"damaskreach/internal/ticker"
	"damaskreach/internal/tune"
)

// Points at which tests may pause an owner.
const (
	BeforeStart  = "before start"  // the lease was checked, the request is not yet sent
	BeforeUnload = "before unload" // the lease was checked and the unload announced, the order is not yet sent
	BeforeTake   = "before take"   // a takeover was decided, the row is not yet written
)

const (
	tick          = 50 * time.Millisecond // of the schedulers
	slowTick      = time.Second           // of all work that calls other processes
	tableTimeout  = 5 * time.Second
	engineTimeout = 2 * time.Second
	loadTimeout   = 2 * time.Minute
	askTimeout    = time.Second
	endGrace      = 5 * time.Second // for the node chosen to end a lapsed session before the others do
	lapsingBefore = 2 * slowTick    // end of a lease
	sickAfter     = 2               // missed reports in a row
)

// Owner holds this node's runners. The exported fields are set before Prepare; the others belong to the control goroutine.
type Owner struct {
	Site       string
	MaxRequest time.Duration // longest allowed request
	ReportLag  time.Duration // how late an engine's report may be at the most
	Poll       time.Duration // interval of readings of sessions and ownership rows
	Policy     policy.Policy // of the schedulers

	Loop    *loop.Loop
	Lease   *lease.Lease
	Table   table.Table
	Members *member.Member
	Log     *zap.Logger

	// Catalog returns the configuration in force.
	Catalog func() catlog.Catalog
	// Connect returns a client of a runner.
	Connect func(r runner.Runner) engine.Engine
	// Permit waits for the load scheduler's permit to load a model and returns the function that releases it.
	Permit func(ctx context.Context, r runner.Runner, why reason.Reason) (func(), error)
	// Busy asks an earlier owner which models its requests still use on a runner.
	Busy func(ctx context.Context, session, peer, runner string, fence int64) ([]string, error)
	// Gone reports whether the host list says that the host of an address is gone.
	Gone func(peer string) bool
	// Leaving reports whether the host list says that the host of a runner's address is leaving.
	Leaving func(addr string) bool
	// Note records a decision for operators.
	Note func(why reason.Reason, attempt string)
	// Copies returns how many runners of a group have each model resident, as far as this node knows.
	Copies func(group string) map[string]int
	// Started is called for each start with its reason, which says how long the call waited and for what.
	Started func(c call.Call, why reason.Reason)
	// Changed is called with the digests of the runners held whenever they have changed.
	Changed func(digests []digest.Digest)
	// Enter waits until a call may be sent to a runner; see package suspct. Nil lets every call through.
	Enter func(ctx context.Context, runner string, c call.Call) (begin func() error, leave func(err error), err error)
	// Suspects returns how many suspects run on a runner or wait for it here. Nil means none.
	Suspects func(runner string) int
	// Pause is called at the named points; only tests set it.
	Pause func(point string)

	rows    map[string]seenRow // ownership rows by runner
	held    map[string]*held   // runners this node owns
	closing []*held            // released runners whose requests still run
	busy    map[string]bool    // runners with a table write in progress
	wake    chan struct{}
	leaving bool
	slow    time.Time // of the last slow tick
	news    bool      // digests have changed since they were announced
	tune    tune.Tune // options the runners held follow
	told    time.Time // when they were announced
	ctx     context.Context
}

type seenRow struct {
	row assign.Assignment
	rev int64
}

// Follow reads sessions and ownership rows and keeps this node's share of runners until ctx ends.
func (o *Owner) Follow(ctx context.Context) {
	go o.follow(ctx)
	for range ticker.Every(ctx, tick) {
		if o.Loop.Do(ctx, o.tick) != nil {
			return
		}
	}
}

// Prepare creates the control state, whose work ends with ctx. It must be called before the control loop runs, since other nodes may send requests
// from then on.
func (o *Owner) Prepare(ctx context.Context) {
	o.ctx = ctx
	o.rows = map[string]seenRow{}
	o.held = map[string]*held{}
	o.busy = map[string]bool{}
	o.wake = make(chan struct{}, 1)
	if o.Pause == nil {
		o.Pause = func(string) {}
	}
	if o.Suspects == nil {
		o.Suspects = func(string) int { return 0 }
	}
	if o.Enter == nil {
		o.Enter = enterFreely
	}
}

// tick runs on the control goroutine.
func (o *Owner) tick() {
	now := time.Now()
	slow := now.Sub(o.slow) >= slowTick
	for _, h := range o.held {
		if slow || h.sched.Waiting() > 0 {
			o.carry(h, h.sched.Tick(now))
		}
	}
	if slow {
		o.slow = now
		o.slowly(now)
	}
	if o.news {
		o.announce(now)
	}
}

func (o *Owner) slowly(now time.Time) {
	o.dropLost(now)
	o.retune()
	for _, h := range o.held {
		h.sched.SetCopies(o.Copies(h.spec.Group))
		h.sched.KeepResident(o.kept(h))
		o.poll(h)
		o.askFormers(h)
		o.writeNext(h)
	}
	o.plan(now)
	o.news = true
}

// retune applies options that operators have changed to the runners held.
func (o *Owner) retune() {
	next := o.Catalog().Tune()
	if next == o.tune {
		return
	}
	o.tune = next
	for _, h := range o.held {
		o.carry(h, h.sched.SetTune(next))
	}
}

// Digests returns the digests of all runners held. It must be called on the control goroutine.
func (o *Owner) Digests() []digest.Digest {
	return o.digests(time.Now())
}

func (o *Owner) digests(now time.Time) []digest.Digest {
	digests := make([]digest.Digest, 0, len(o.held))
	for _, h := range o.held {
		digests = append(digests, o.digest(now, h))
	}
	return digests
}

func (o *Owner) digest(now time.Time, h *held) digest.Digest {
	h.number++
	d := h.sched.Digest(now)
	d.Runner = h.spec.Name
	d.Group = h.spec.Group
	d.Owner = h.row.Session
	d.Addr = h.row.Peer
	d.Fence = h.fence
	d.Number = h.number
	d.Sick = h.failures >= sickAfter
	d.Closed = d.Closed || h.leaving || o.lapsing(h)
	d.Suspects = o.Suspects(h.spec.Name)
	return d
}

// Running returns how many requests run through this node on runners that it holds or has released.
// It must be called on the control goroutine.
func (o *Owner) Running() int {
	count := 0
	for _, h := range o.held {
		count += len(h.attempts)
	}
	for _, h := range o.closing {
		count += len(h.attempts)
	}
	return count
}

// Leave releases all runners, so that other nodes take them over. It must be called on the control goroutine.
func (o *Owner) Leave() {
	o.leaving = true
	o.plan(time.Now())
}
