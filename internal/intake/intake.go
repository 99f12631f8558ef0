// Package intake keeps a host's view of the upstreams and the configuration up to date from the store and from other hosts.
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

// callTimeout bounds a reading; a silent connection shows in nothing else.
const callTimeout = 700 * time.Millisecond

// confListTimeout bounds a list of the operators' rows: thousands of routes take seconds on a narrow link. The store's adapter ends a list
// that makes no progress.
const confListTimeout = 30 * time.Second

// Intake holds the latest view. Its exported fields are set before RunConf and RunTargets.
type Intake struct {
	Table        table.Table
	Conf         string // prefix of the operators' rows; Tail waits for a change of them
	Targets      string // prefix of the upstreams' registrations
	ReadInterval func() time.Duration
	// NextReadDelay returns the time from the start of one reading of registrations to the next, given how long the reading took.
	NextReadDelay func(took time.Duration) time.Duration
	Clock         func() time.Duration // must count time while the host is suspended
	// Rules, Target and Version decode rows. Rules and Version report false for a row of another kind; a row that fails is not applied.
	Rules   func(row rows.Row) (rules.Rules, bool, error)
	Target  func(row rows.Row) (target.Target, error)
	Version func(row rows.Row) (adapter string, version int, ok bool, err error)
	// ReadDelegated reports whether this host currently leaves reading the store to another host.
	ReadDelegated func() bool
	// RetryDelay returns the wait after a failed reading. After an outage, hundreds of hosts that retry a few times a second each would make
	// up most of the store's load.
	RetryDelay func() time.Duration
	// Forwarded returns the rows under a prefix that changed after a revision, and up to which one, where another host has forwarded them.
	Forwarded func(prefix string, after int64) (list []rows.Row, rev int64, ok bool)
	// FetchFromHost returns all rows under a prefix as another host knows them, and their revision; ok is false where no host answers.
	FetchFromHost func(ctx context.Context, prefix string) (list []rows.Row, rev int64, ok bool)
	// ListDelay returns for how long a starting host asks others before it has the store send the whole list.
	ListDelay func() time.Duration
	// OnRead is called after each reading of the registrations from the store.
	OnRead func()
	// OnChange is called after a change that other hosts should learn of.
	OnChange func()
	// RecordChanges takes the rows to forward to other hosts, changed after one revision (or feed.Whole) and up to another.
	RecordChanges func(prefix string, after, rev int64, list []rows.Row)
	// OnConfigApplied takes the row of a configuration that has been applied.
	OnConfigApplied func(row rows.Row)
	Log             *zap.Logger

	current      atomic.Pointer[view.View]
	missing      map[string]time.Time
	failingSince time.Time // start of the first failed reading of registrations since one succeeded
	appliedAt    time.Time // when registrations were last applied, from the store or another host
	tailOverflow float64   // upstreams times seconds whose changes exceed one answer; 0 if unknown
	storeDown    atomic.Bool
	outage       outage
	heldBack     heldBack
	era          rising.Rising // latest known era plus one; 0 if none is known
	unreadable   map[string]int64

	rawMu sync.Mutex
	raw   map[string]rows.Row // registrations as last read, by ID

	operatorsMu sync.Mutex
	operators   map[string]rows.Row // operators' rows in force, by key
	overtaken   map[string]int      // versions in force, by adapter, where the store's row names an older one

	confAt       atomic.Int64  // revision up to which the operators' rows are applied
	confMark     atomic.Int64  // revision of their latest change
	confReported rising.Rising // revision of the latest change that another host has reported
	confRead     atomic.Int64  // when they were last read, in nanoseconds of Clock; 0 means never
	confWake     chan struct{}
	targetAt     atomic.Int64
	targetMark   atomic.Int64
	targetRead   atomic.Int64 // start of the last reading of registrations, in nanoseconds of Clock
	targetWake   chan struct{}
}

// NewIntake returns an Intake with an empty view.
func NewIntake() *Intake {
	begun := time.Now()
	i := &Intake{
		Clock:   func() time.Duration { return time.Since(begun) },
		missing: map[string]time.Time{}, unreadable: map[string]int64{}, confWake: make(chan struct{}, 1), targetWake: make(chan struct{}, 1),
		ReadDelegated: func() bool { return false }, OnChange: func() {}, OnRead: func() {},
		raw: map[string]rows.Row{}, operators: map[string]rows.Row{}, overtaken: map[string]int{},
		FetchFromHost:   func(context.Context, string) ([]rows.Row, int64, bool) { return nil, 0, false },
		ListDelay:       func() time.Duration { return 0 },
		Forwarded:       func(string, int64) ([]rows.Row, int64, bool) { return nil, 0, false },
		RecordChanges:   func(string, int64, int64, []rows.Row) {},
		OnConfigApplied: func(rows.Row) {},
	}
	i.NextReadDelay = func(time.Duration) time.Duration { return i.ReadInterval() }
	i.current.Store(&view.View{})
	return i
}

// clockNanos returns the clock's nanoseconds, never 0. Ages reported to other hosts come from this clock: the time of day may be set back,
// and the monotonic clock stops while the host is suspended; either would make a reading seem too recent.
func (i *Intake) clockNanos() int64 {
	return max(1, i.Clock().Nanoseconds())
}

// ageOf returns the time since a value of clockNanos, and whether it was ever set.
func (i *Intake) ageOf(at *atomic.Int64) (age time.Duration, ok bool) {
	then := at.Load()
	return time.Duration(i.clockNanos() - then), then > 0
}

// View returns the latest view.
func (i *Intake) View() view.View {
	return *i.current.Load()
}

// updateView applies a change. Two goroutines write: one for the operators' rows, one for registrations.
func (i *Intake) updateView(change func(v view.View) view.View) {
	for {
		old := i.current.Load()
		changed := change(*old)
		if i.current.CompareAndSwap(old, &changed) {
			return
		}
	}
}
