// Package tenure decides which host gives orders to which engine, and which counts which part of teams' limits. Of a part is true
// whatever is said here of an engine.
//
// Engines do not check who orders them, so two hosts that both believe they may would overfill an engine, which crashes,
// or unload what the other has just loaded. Each engine has a row in the store that names its host, and each host a row
// that it renews. A host acts only while its last renewal, counted from before it was sent on a clock that goes on
// through suspensions, is younger than the lease. Others take an engine over once they have seen the host's row unchanged
// for the lease and the time that orders of two hosts must lie apart, and only by ending that row in the store first, so
// that a renewal still under way fails.
//
// A host is known by its IP and not by its start: the process that comes back on the same host goes on at once, since its
// predecessor is dead for certain.
package tenure

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/rates"
	"damaskreach/internal/rows"
	"damaskreach/internal/stats"
	"damaskreach/internal/table"
)

const (
	// Lease is how long a host may act after a renewal. It outlasts most outages of the store, in which all loads would stop
	// otherwise; the engines of a host that is lost for good wait that much longer for their next load, and keep serving
	// what they hold. A host that restarts goes on at once.
	Lease = 10 * time.Second
	// renewEvery leaves room for two lost renewals within a lease, at less than half a call a second.
	renewEvery = 2500 * time.Millisecond
	// readEvery is how often the rows of all hosts are read: takeovers are rare and slower than this anyway.
	readEvery = 4 * time.Second
	// firstEvery is how often they are read in the first seconds, when all hosts start and engines have no host yet.
	firstEvery = 500 * time.Millisecond
	// restLeast is how often a host reads them that lets another one read, and restRow as much for each row: a list of many is paid for over
	// a longer time.
	restLeast = time.Minute
	restRow   = 200 * time.Millisecond
	// callFor bounds a call to the store.
	callFor = time.Second
	// listFor bounds a list of all rows; the store's adapter bounds each page.
	listFor = 4 * time.Second
	// margin is kept between the last order of one host and the first of the next, beside the time they must lie apart:
	// an order under way, and the reading of clocks that run at slightly different rates.
	margin = 700 * time.Millisecond
	// orderSlack is how much of the lease must be left for an order to be given, for its way to the engine.
	orderSlack = 300 * time.Millisecond
	// most is how many engines are claimed in one transaction.
	most = 40
	// mostEntries is how many expectations and changes the store takes in one transaction.
	mostEntries = 100
)

// Tenure keeps this host's part. The exported fields are set before Run.
type Tenure struct {
	Table   table.Table
	IP      string
	Peers   string
	Callers string
	Centre  string
	Power   float64                  // cores that this process may use
	Turn    func() time.Duration     // that orders of two hosts must lie apart
	Clock   func() time.Duration     // goes on through suspensions
	Engines func() map[string]string // data centre of each engine that needs a host, by id
	// Live reports whether another host answered a moment ago.
	Live func(ip string) bool
	// Blocked reports whether this host cannot reach an engine now, and gives it no orders; nil means that it reaches all.
	Blocked func(id string) bool
	// Yields reports whether this host is to give up an engine that it cannot reach, since others can; nil means that it gives up none.
	Yields func(id string) bool
	// Ordered returns when this host gave an engine its last order, by Clock; false where this process has given it none.
	Ordered func(id string) (at time.Duration, ok bool)
	// Able reports whether another host reaches engines, as far as is known; nil means that each does.
	Able func(ip string) bool
	// Measured returns what this host has measured of engines, for those that start later.
	Measured func() rates.Rates
	// Beside returns rows that are written along with a renewal, each whatever its revision is; a call of their own would cost as
	// much as the renewal.
	Beside func() []rows.Row
	// Store is the store itself, where Table may answer with what another host has passed on.
	Store table.Table
	// Others returns all rows under a prefix as another host knows them, and up to which revision; ok is false where none tells.
	Others func(ctx context.Context, prefix string) (list []rows.Row, rev int64, ok bool)
	// Patience returns for how long this host leaves the store's whole list to others when it starts.
	Patience func() time.Duration
	// Relaxed reports whether another host reads the rows for this one at present.
	Relaxed func() bool
	// Pause returns how long to wait after a failed reading.
	Pause func() time.Duration
	// Keep takes the rows that others should know of among those that changed after a revision, or feed.Whole, up to another.
	Keep  func(prefix string, after, rev int64, list []rows.Row)
	Log   *zap.Logger
	Stats *stats.Stats

	wake    chan struct{}
	mu      sync.Mutex
	start   string
	begun   time.Duration // when this process began
	epoch   int64         // of this host's session
	sent    time.Duration // when the last renewal that succeeded was sent
	renewed bool
	tried   tried
	pace    pace
	era     int64           // of the store, the latest that was seen
	entered time.Duration   // when it was first seen
	calm    bool            // no lease of an earlier era is left
	kept    map[string]kept // engines that this host goes on with from an earlier era
	yielded map[string]bool // engines that it gives up
	starts  bool            // its session has just begun, and it may claim engines
	doubt   bool            // the store must be read before this host's own row, or one of its claims, is believed
	opensAt time.Duration   // when the first of the engines that wait may be claimed, a reading ahead at most
	at      int64           // revision up to which rows are read
	untold  bool            // others have not heard of this host's session as it is now
	unsure  bool            // engines may have been taken over since: the store must be read before any of them is given an order
	hosts   map[string]seen
	own     map[string]owned
	named   map[string]bool // engines of own whose rows name this host, in whichever session
	mark    int64           // revision of the newest change that matters to others
	heard   int64           // revision up to which another host has read, where that is more than at
	full    time.Duration   // when the rows were last read from the store or from another host
	asked   time.Duration   // when the newest reading of them began
	secret  []byte
	keyed   bool                     // the store has it
	makeAt  time.Duration            // when this host makes it where there is none
	fresh   map[string]time.Duration // engines without a host, since when
	silent  map[string]time.Duration // hosts that do not renew their rows and are not heard, since when
	known   int                      // most engines that it has known of while none had a host
	knownAt time.Duration            // since when
}

type seen struct {
	session
	rev   int64
	since time.Duration // when this revision was first seen
}

type owned struct {
	ownership
	rev     int64
	seen    time.Duration // when this revision was first seen
	since   time.Duration // when this host got it, where it is this host's
	checked time.Duration // when the store was last asked and had this revision still
}

// Run renews and reads until ctx ends.
func (t *Tenure) Run(ctx context.Context) {
	t.mu.Lock()
	t.wake = make(chan struct{}, 1)
	t.start = strconv.FormatUint(rand.Uint64(), 36)
	t.hosts = map[string]seen{}
	t.own, t.named = map[string]owned{}, map[string]bool{}
	t.kept = map[string]kept{}
	t.yielded = map[string]bool{}
	t.fresh = map[string]time.Duration{}
	t.silent = map[string]time.Duration{}
	t.mu.Unlock()
	begun := t.Clock()
	t.mu.Lock()
	t.begun = begun
	t.mu.Unlock()
	var renewAt, readAt time.Duration
	for ctx.Err() == nil {
		now := t.Clock()
		if now >= readAt {
			readAt = now + t.read(ctx, now-begun)
		}
		if now = t.Clock(); now >= renewAt && t.seeded() {
			renewAt = now + t.renew(ctx)
			if t.doubts() {
				readAt = 0
			} else if t.started() {
				readAt = now + t.claims(ctx, now-begun)
			}
		}
		if t.pause(ctx, min(readAt, max(renewAt, now+time.Millisecond))-t.Clock()) {
			readAt = 0
		}
	}
}

// doubts reports whether the store must be read before this host gives orders.
func (t *Tenure) doubts() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unsure || t.doubt || t.outdated()
}

// pause waits; it reports true where another host has read something newer.
func (t *Tenure) pause(ctx context.Context, d time.Duration) (woken bool) {
	timer := time.NewTimer(max(d, 10*time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-t.wake:
		return true
	}
	return false
}

// Covers reports whether this host has read as far as another one.
func (t *Tenure) Covers(mark int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return mark <= t.at
}

// Wake reads the rows where another host has read newer ones.
func (t *Tenure) Wake(mark int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if mark <= t.at || t.wake == nil {
		return
	}
	t.heard = max(t.heard, mark)
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Look claims what has no host, after a reading where this host reads for itself: an engine that has just registered holds nothing, and the load of its
// base model takes seconds.
func (t *Tenure) Look() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.wake == nil || !t.renewed {
		return
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Mark returns the revision of the newest change read that matters to others.
func (t *Tenure) Mark() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mark
}

// seeded reports whether the rows of this era were read once: before that this host does not know the revision of its own row.
func (t *Tenure) seeded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.outdated()
}
