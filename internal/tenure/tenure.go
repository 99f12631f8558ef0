// Package tenure decides which host owns which engine, that is sends it load and unload orders, and which host counts which shard of
// the teams' limits. A shard is claimed and leased like an engine.
//
// Engines do not check who orders them, so two hosts that both believed to own one would overfill it, which crashes it, or unload what
// the other has just loaded. Each engine has a row in the store that names its owner, and each host a session row that it renews. A
// host acts only while its last renewal, counted from before it was sent on a clock that keeps running through suspensions, is younger
// than the lease. Others take an engine over once they have seen the session row unchanged for the lease plus the gap between orders
// of two hosts, and only after they have ended that session in the store, so that a renewal still in flight fails.
//
// A host is identified by its IP, not by its process: a process that restarts on the same host resumes at once, since its predecessor
// is certainly dead.
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
	// Lease is how long a host may act after a renewal. It outlasts most outages of the store, during which all loads would stop
	// otherwise; the engines of a host that is lost for good wait that much longer for their next load, and keep serving the
	// adapters that they hold. A host that restarts continues at once.
	Lease = 10 * time.Second
	// renewInterval leaves room for two lost renewals within a lease, at less than half a call a second.
	renewInterval = 2500 * time.Millisecond
	// readInterval is how often the rows of all hosts are read: takeovers are rare and slower than this anyway.
	readInterval = 4 * time.Second
	// shortInterval replaces it in the first seconds, when all hosts start and engines have no owner, and while a claim is pending.
	shortInterval = 500 * time.Millisecond
	// minDelegatedInterval is the shortest interval between reads of a host for which another one reads. It grows by
	// delegatedIntervalPerRow for each row, which spreads the cost of a long list over a longer time.
	minDelegatedInterval    = time.Minute
	delegatedIntervalPerRow = 200 * time.Millisecond
	// callTimeout bounds a call to the store.
	callTimeout = time.Second
	// listTimeout bounds a list of all rows; the store's adapter bounds each page.
	listTimeout = 4 * time.Second
	// handoverMargin is added to the gap between the last order of one host and the first of the next, for an order in flight
	// and for clocks that run at slightly different rates.
	handoverMargin = 700 * time.Millisecond
	// minOrderLease is how much of the lease must be left to send an order, which takes time to reach the engine.
	minOrderLease = 300 * time.Millisecond
	// maxClaims is how many engines are claimed in one transaction.
	maxClaims = 40
	// maxTxEntries is how many expectations and changes the store accepts in one transaction.
	maxTxEntries = 100
)

// Tenure is this host's side of the protocol. The exported fields are set before Run.
type Tenure struct {
	Table      table.Table
	IP         string
	PeerAddr   string
	CallerAddr string
	Centre     string
	Cores      float64                  // cores that this process may use
	OrderGap   func() time.Duration     // minimum time between orders of two hosts to one engine
	Clock      func() time.Duration     // keeps running through suspensions
	Engines    func() map[string]string // data centre of each engine that needs an owner, by id
	// Live reports whether another host answered recently.
	Live func(ip string) bool
	// Blocked reports whether this host cannot reach an engine now, and so sends it no orders; nil means that it reaches all.
	Blocked func(id string) bool
	// PartMemory returns for how long what was used of a host's part counts.
	PartMemory func() time.Duration
	// ShouldRelease reports whether this host is to release an engine that it cannot reach but others can; nil means none.
	ShouldRelease func(id string) bool
	// LastOrder returns when this host sent an engine its last order, by Clock; false where this process has sent none.
	LastOrder func(id string) (at time.Duration, ok bool)
	// PeerReaches reports whether another host reaches engines, as far as is known; nil means that each does.
	PeerReaches func(ip string) bool
	// LocalRates returns what this host has measured of engines, for hosts that start later.
	LocalRates func() rates.Rates
	// ExtraRows returns rows that are written in the transaction of a renewal, whatever their revisions are; a separate call would
	// cost as much as the renewal.
	ExtraRows func() []rows.Row
	// Store always reads the store itself, where Table may return what another host has read.
	Store table.Table
	// ListFromPeers returns all rows under a prefix as another host knows them, and their revision; ok is false where no host answers.
	ListFromPeers func(ctx context.Context, prefix string) (list []rows.Row, rev int64, ok bool)
	// PeerTimeout returns for how long a starting host waits for ListFromPeers before it lists the store itself.
	PeerTimeout func() time.Duration
	// ReadDelegated reports whether another host currently reads the rows for this one.
	ReadDelegated func() bool
	// RetryDelay returns how long to wait after a failed read.
	RetryDelay func() time.Duration
	// Publish receives the rows that matter to other hosts among those that changed after a revision, or feed.Whole, up to another one.
	Publish func(prefix string, after, rev int64, list []rows.Row)
	Log     *zap.Logger
	Stats   *stats.Stats

	wake               chan struct{}
	mu                 sync.Mutex
	startID            string
	startedAt          time.Duration // when this process started
	epoch              int64         // of this host's session
	lastRenewal        time.Duration // when the last successful renewal was sent
	hasSession         bool
	passiveSession     bool          // this host has a session that it does not renew
	part               part          // of what all hosts divide by their number
	heardAt            time.Duration // when another host was last heard of
	unconfirmed        unconfirmedRenewals
	pace               pace
	era                int64                   // newest era of the store that was seen
	eraSeenAt          time.Duration           // when that era was first seen
	eraSettled         bool                    // no lease of an earlier era can still be in force
	carried            map[string]carriedClaim // claims of an earlier era that this host still acts on, by engine
	releasing          map[string]bool         // engines that this host is releasing
	sessionBegan       bool                    // the session has just begun, and may claim engines
	rowsDoubtful       bool                    // the store must be read before this host's own row or one of its claims is trusted
	nextClaimAt        time.Duration           // when the first of the engines in transition may be claimed, a read interval ahead at most
	readRev            int64                   // revision up to which rows were read
	sessionUnpublished bool                    // other hosts do not know this host's session as it is now
	ownersStale        bool                    // engines may have been taken over meanwhile: the store must be read before any order
	hosts              map[string]hostRow
	owners             map[string]ownerRow
	ownIDs             map[string]bool // engines whose rows name this host, in any session
	newestRev          int64           // revision of the newest change that matters to other hosts
	peerRev            int64           // revision up to which another host has read, where that is more than readRev
	lastRead           time.Duration   // when rows were last read from the store or another host
	readBegan          time.Duration   // when the newest read began
	secret             []byte
	secretStored       bool                     // the store has the secret
	createSecretAt     time.Duration            // when this host creates the secret if there is none
	unownedSince       map[string]time.Duration // since when engines have had no owner
	silentSince        map[string]time.Duration // since when hosts neither renew their rows nor answer
	maxEnginesSeen     int                      // most engines known of while none had an owner
	maxEnginesAt       time.Duration            // when that number was reached
}

type hostRow struct {
	session
	rev    int64
	seenAt time.Duration // when this revision was first seen
}

type ownerRow struct {
	ownership
	rev       int64
	seenAt    time.Duration // when this revision was first seen
	heldSince time.Duration // when this host got the engine, if it is the owner
	checkedAt time.Duration // when the store was last asked and still had this revision
}

// Run renews the session, reads rows and claims engines until ctx ends.
func (t *Tenure) Run(ctx context.Context) {
	t.mu.Lock()
	t.wake = make(chan struct{}, 1)
	t.startID = strconv.FormatUint(rand.Uint64(), 36)
	t.hosts = map[string]hostRow{}
	t.owners, t.ownIDs = map[string]ownerRow{}, map[string]bool{}
	t.carried = map[string]carriedClaim{}
	t.releasing = map[string]bool{}
	t.unownedSince = map[string]time.Duration{}
	t.silentSince = map[string]time.Duration{}
	t.mu.Unlock()
	begun := t.Clock()
	t.mu.Lock()
	t.startedAt, t.part.unused = begun, true
	t.mu.Unlock()
	var renewAt, readAt time.Duration
	for ctx.Err() == nil {
		t.noteHeard()
		now := t.Clock()
		if now >= readAt {
			readAt = now + t.readAndClaim(ctx, now-begun)
		}
		if now = t.Clock(); now >= renewAt && t.synced() {
			renewAt = now + t.renew(ctx)
			if t.needsRead() {
				readAt = 0
			} else if t.takeSessionBegan() {
				readAt = now + t.claimStep(ctx, now-begun)
			}
		}
		if t.sleep(ctx, min(readAt, max(renewAt, now+time.Millisecond))-t.Clock()) {
			readAt = 0
			if t.partUnreturned() {
				renewAt = 0
			}
		}
	}
}

// needsRead reports whether the store must be read before this host sends orders.
func (t *Tenure) needsRead() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownersStale || t.rowsDoubtful || t.eraOutdated() || t.partUnread()
}

// sleep waits for d; it returns true early where there is something to read or to claim.
func (t *Tenure) sleep(ctx context.Context, d time.Duration) (woken bool) {
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

// HasRead reports whether this host has read up to a revision.
func (t *Tenure) HasRead(rev int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return rev <= t.readRev
}

// NotifyNewer triggers a read where another host has read up to a newer revision.
func (t *Tenure) NotifyNewer(rev int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rev <= t.readRev || t.wake == nil {
		return
	}
	t.peerRev = max(t.peerRev, rev)
	t.wakeUp()
}

// wakeUp ends a sleep of Run, or the next one.
func (t *Tenure) wakeUp() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// ClaimSoon triggers the claim of unowned engines, after a read where this host reads for itself: an engine that has just registered
// holds nothing, and the load of its base model takes seconds.
func (t *Tenure) ClaimSoon() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.wake == nil || !t.hasSession {
		return
	}
	t.wakeUp()
}

// NewestRev returns the revision of the newest change read that matters to other hosts.
func (t *Tenure) NewestRev() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newestRev
}

// synced reports whether the rows of this era were read: before that this host does not know the revision of its own row.
func (t *Tenure) synced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.eraOutdated()
}
