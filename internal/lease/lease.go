// Package lease keeps a node's session row alive and tells how long the node may act on it.
package lease

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"damaskreach/internal/rows"
	"damaskreach/internal/sess"
	"damaskreach/internal/table"
	"damaskreach/internal/ticker"
)

// Points at which a test may pause the holder.
const (
	BeforeRenew = "before renew" // the start of the term is noted, nothing is sent yet
	AfterRenew  = "after renew"  // the write took effect, the term is not yet extended
)

// Lease is held by renewing a session row by compare-and-set.
// The holder counts its term from before it sent a renewal, on its own monotonic clock, and a watcher
// counts from when it saw the renewal, so the holder's term always ends first and no two clocks are compared.
type Lease struct {
	table table.Table
	log   *zap.Logger
	term  time.Duration
	renew time.Duration
	at    func(point string)

	mu    sync.Mutex
	now   sess.Session
	rev   int64 // 0 while no row of this session is known to exist
	until time.Time
	own   map[string]bool // every session id this process has had
	wake  chan struct{}
}

// NewLease returns a lease of the given term that is renewed every renew.
func NewLease(t table.Table, s sess.Session, term, renew time.Duration, log *zap.Logger) *Lease {
	s = s.WithState(sess.Live).WithEpoch(newEpoch())
	return &Lease{
		table: t,
		log:   log,
		term:  term,
		renew: renew,
		at:    func(string) {},
		now:   s,
		own:   map[string]bool{s.ID(): true},
		wake:  make(chan struct{}, 1),
	}
}

// WithPause sets a function called at the named points and returns the lease; only tests use it.
func (l *Lease) WithPause(at func(point string)) *Lease {
	l.at = at
	return l
}

// Session returns the session as it stands now.
func (l *Lease) Session() sess.Session {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now
}

// Owned reports whether a session is or was this process's own.
func (l *Lease) Owned(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.own[id]
}

// Valid reports whether the node may still act on its session.
func (l *Lease) Valid() bool {
	return l.Left() > 0
}

// Holds reports whether the node may still act on a session: it is the present one and its term has not ended.
// After its session was ended by others a node starts another, whose term must not cover what it did under the first.
func (l *Lease) Holds(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now.ID() == id && time.Until(l.until) > 0
}

// Left returns how much of the term is left; it is negative once the term has ended.
func (l *Lease) Left() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Until(l.until)
}

// Extend prolongs the term to end at until, where that is later; peers' promises allow it during an outage.
func (l *Lease) Extend(id string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.now.ID() == id && until.After(l.until) && l.rev != 0 {
		l.until = until
	}
}

// Leave makes the next renewal say that the node is leaving and brings it forward.
func (l *Lease) Leave() {
	l.mu.Lock()
	l.now = l.now.WithState(sess.Leaving)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run renews the lease until ctx ends.
func (l *Lease) Run(ctx context.Context) {
	for range ticker.Repeat(ctx, l.renew, l.wake) {
		l.step(ctx)
	}
}

// Release says in the session row that the session has ended, so that nobody has to wait for the term to end and its
// successors know that no request of its is left. The caller must have stopped acting on the session before.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	l.now = l.now.WithState(sess.Ended)
	l.until = time.Time{}
	row := rows.Row{Key: l.now.Key(), Rev: l.rev, Value: l.now.Encode()}
	l.mu.Unlock()
	_, err := l.table.Write(ctx, row)
	return err
}

// Renew renews the lease now, beside a renewal of Run that may hang: one sent to a slow service is given up only after
// seconds, in which the term could end although the service answers again. It does nothing for a session that has no row
// or has ended.
func (l *Lease) Renew(ctx context.Context) {
	if l.renewable() {
		l.step(ctx)
	}
}

func (l *Lease) renewable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rev != 0 && l.now.State != sess.Ended
}

// step renews the lease. It tries once more where an earlier renewal had taken effect unnoticed: by the next turn the term
// may have ended.
func (l *Lease) step(ctx context.Context) {
	if errors.Is(l.try(ctx), errBehind) {
		_ = l.try(ctx)
	}
}

func (l *Lease) try(ctx context.Context) error {
	start := time.Now()
	next, rev := l.nextBeat()
	l.at(BeforeRenew)
	ctx, cancel := context.WithTimeout(ctx, l.term-l.renew)
	defer cancel()
	row := rows.Row{Key: next.Key(), Rev: rev, Value: next.Encode()}
	rev, err := l.table.Write(ctx, row)
	l.at(AfterRenew)
	if err != nil {
		rev, err = l.settle(ctx, next, err)
	}
	if err != nil {
		l.log.Warn("renewing the session failed", zap.String("session", next.ID()), zap.Error(err))
		return err
	}
	l.accept(next, rev, start)
	return nil
}

func (l *Lease) nextBeat() (sess.Session, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now = l.now.WithBeat(l.now.Beat + 1)
	return l.now, l.rev
}

func (l *Lease) accept(next sess.Session, rev int64, start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.now.ID() != next.ID() {
		return
	}
	l.rev = max(l.rev, rev) // a later renewal may have been answered first
	until := start.Add(l.term)
	if until.After(l.until) {
		l.until = until
	}
}

// settle finds out what became of a write that did not succeed plainly.
// Without it a lost answer would look like a failed renewal and every later one would meet a conflict
// with the row this node wrote itself.
func (l *Lease) settle(ctx context.Context, next sess.Session, cause error) (int64, error) {
	row, err := l.table.Read(ctx, next.Key())
	if err == nil {
		return l.settleFound(row, next, cause)
	}
	if !isAbsent(err) || !isConflict(cause) {
		return 0, cause
	}
	return 0, l.settleAbsent(ctx, next, cause)
}

func (l *Lease) settleFound(row rows.Row, next sess.Session, cause error) (int64, error) {
	found, err := sess.Decode(row.Value)
	if err != nil {
		return 0, err
	}
	if found.Beat == next.Beat {
		return row.Rev, nil
	}
	// An earlier renewal took effect after all: the next one must build on its revision.
	l.mu.Lock()
	defer l.mu.Unlock()
	if row.Rev <= l.rev || l.now.ID() != next.ID() {
		return 0, cause
	}
	l.rev = row.Rev
	return 0, merry.Wrap(errBehind, merry.WithCause(cause))
}

// settleAbsent starts another life where the row was deleted, which means that the others take this session for dead.
// A lagging replica may miss a row that exists, so only a write that demands absence proves it.
func (l *Lease) settleAbsent(ctx context.Context, next sess.Session, cause error) error {
	absent := rows.Row{Key: next.Key(), Gone: true}
	if _, err := l.table.Write(ctx, absent); err != nil {
		return cause
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.now.ID() != next.ID() {
		return cause
	}
	l.log.Warn("the session was ended by others; starting anew", zap.String("session", next.ID()))
	l.now = l.now.WithEpoch(newEpoch())
	l.own[l.now.ID()] = true
	l.rev = 0
	l.until = time.Time{}
	return cause
}

func newEpoch() string {
	return rand.Text()[:10]
}
