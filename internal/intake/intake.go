// Package intake keeps a host's view of the platform up to date from the platform's store.
package intake

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/rising"
	"damaskreach/internal/rows"
	"damaskreach/internal/rules"
	"damaskreach/internal/table"
	"damaskreach/internal/target"
	"damaskreach/internal/view"
)

// callFor bounds a reading; a connection that fell silent shows in nothing else.
const callFor = 700 * time.Millisecond

// confFor bounds a list of the operators' rows; the store's adapter ends one that makes no progress. Thousands of routes take seconds on a narrow link.
const confFor = 30 * time.Second

// Intake holds the newest view. Its fields are set before Run.
type Intake struct {
	Table   table.Table
	Conf    string // prefix of the operators' rows; its Tail waits for a change
	Targets string // prefix of the upstreams' registrations
	Every   func() time.Duration
	// Again returns how long after the beginning of a reading of the registrations that took so long the next one begins.
	Again func(took time.Duration) time.Duration
	Clock func() time.Duration // goes on through suspensions
	// Rules, Target and Version decode rows; a row that is none of their kind is an error and changes nothing.
	Rules   func(row rows.Row) (rules.Rules, bool, error)
	Target  func(row rows.Row) (target.Target, error)
	Version func(row rows.Row) (adapter string, version int, ok bool, err error)
	// Relaxed reports whether another host reads for this one at present.
	Relaxed func() bool
	// Pause returns how long to wait after a failed reading. Where the store is away from all, hundreds of hosts that tried a few times
	// a second each would be most of its calls when it comes back.
	Pause func() time.Duration
	// Passed returns rows under a prefix that changed after a revision, up to another, where another host has passed them on.
	Passed func(prefix string, after int64) (list []rows.Row, rev int64, ok bool)
	// Others returns all rows under a prefix as another host knows them, and up to which revision; ok is false where none tells.
	Others func(ctx context.Context, prefix string) (list []rows.Row, rev int64, ok bool)
	// Patience returns for how long this host leaves the store's whole list to others when it starts.
	Patience func() time.Duration
	// Read is called after each reading of the registrations from the store.
	Read func()
	// Changed is called after a change that others should know of.
	Changed func()
	// Keep takes the rows that others should know of among those that changed after a revision, or feed.Whole, up to another.
	Keep func(prefix string, after, rev int64, list []rows.Row)
	// Applied takes the row of a configuration that has come into force.
	Applied func(row rows.Row)
	Log     *zap.Logger

	current atomic.Pointer[view.View]
	missing map[string]time.Time
	lost    time.Time // when readings of registrations began to fail
	taken   time.Time // when registrations were last taken, from the store or from another host
	tooMany float64   // upstreams times seconds whose changes are more than one answer has; 0 where none were yet
	away    atomic.Bool
	outage  outage
	copied  copied
	era     rising.Rising // the newest that this host has learnt of, and one; 0 where it knows of none yet
	bad     map[string]int64

	rawMu sync.Mutex
	raw   map[string]rows.Row // registrations as they were read last, by id

	operatorsMu sync.Mutex
	operators   map[string]rows.Row // the operators' rows that are in force, by key

	confAt     atomic.Int64  // revision up to which the operators' rows are read
	confMark   atomic.Int64  // of their newest change
	confTold   rising.Rising // of the newest change that another host has told of
	confRead   atomic.Int64  // when they were last read, in nanoseconds of the clock; 0 means never
	confWake   chan struct{}
	targetAt   atomic.Int64
	targetMark atomic.Int64
	targetRead atomic.Int64 // when the last reading of registrations began, likewise
	targetWake chan struct{}
}

// NewIntake returns an intake that knows nothing yet.
func NewIntake() *Intake {
	begun := time.Now()
	i := &Intake{
		Clock:   func() time.Duration { return time.Since(begun) },
		missing: map[string]time.Time{}, bad: map[string]int64{}, confWake: make(chan struct{}, 1), targetWake: make(chan struct{}, 1),
		Relaxed: func() bool { return false }, Changed: func() {}, Read: func() {}, raw: map[string]rows.Row{}, operators: map[string]rows.Row{},
		Others:   func(context.Context, string) ([]rows.Row, int64, bool) { return nil, 0, false },
		Patience: func() time.Duration { return 0 },
		Passed:   func(string, int64) ([]rows.Row, int64, bool) { return nil, 0, false }, Keep: func(string, int64, int64, []rows.Row) {}, Applied: func(rows.Row) {},
	}
	i.Again = func(time.Duration) time.Duration { return i.Every() }
	i.current.Store(&view.View{})
	return i
}

// moment returns the clock's nanoseconds, never 0. What lies between two of them is told to other hosts as an age: the time of day may be set
// back, and the steady clock stands still while the host is suspended; by either a reading would seem younger than it is.
func (i *Intake) moment() int64 {
	return max(1, i.Clock().Nanoseconds())
}

// since returns how long ago a moment was, and whether there was one.
func (i *Intake) since(at *atomic.Int64) (age time.Duration, ok bool) {
	then := at.Load()
	return time.Duration(i.moment() - then), then > 0
}

// View returns the newest view.
func (i *Intake) View() view.View {
	return *i.current.Load()
}

// swap applies a change. Two goroutines write: one for the operators' rows and one for registrations.
func (i *Intake) swap(change func(v view.View) view.View) {
	for {
		old := i.current.Load()
		changed := change(*old)
		if i.current.CompareAndSwap(old, &changed) {
			return
		}
	}
}
