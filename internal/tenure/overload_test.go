package tenure_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/rows"
	"damaskreach/internal/table"
)

const (
	// txDuration and callDuration are how long the store takes for a transaction and for another call at its usual speed.
	txDuration, callDuration = 3 * time.Millisecond, 4 * time.Millisecond
	// maxQueued is how much work of transactions may be queued; the store rejects more.
	maxQueued = time.Second
)

// queue is that of a store that runs one transaction after the other.
type queue struct {
	mu          sync.Mutex
	rng         *rand.Rand
	slowdown    time.Duration // factor by which the store is slower now
	refuseShare float64       // share of calls that it rejects now
	idleAt      time.Time     // when all queued transactions are done
	calls       int
}

// degrade sets the store's slowdown and its share of rejected calls.
func (q *queue) degrade(slower time.Duration, refuse float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slowdown, q.refuseShare = slower, refuse
}

// takeCalls returns how many calls came since it was last called.
func (q *queue) takeCalls() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	calls := q.calls
	q.calls = 0
	return calls
}

// admit returns how long a call takes; false means that the store rejects it.
func (q *queue) admit(tx bool) (takes time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.calls++
	now := time.Now()
	switch {
	case q.rng.Float64() < q.refuseShare || tx && q.idleAt.Sub(now) > maxQueued:
		return 0, false
	case !tx:
		return q.slowdown * callDuration, true
	case q.idleAt.Before(now):
		q.idleAt = now
	}
	q.idleAt = q.idleAt.Add(q.slowdown * txDuration)
	return q.idleAt.Sub(now), true
}

// await waits for an answer; a call that the store has accepted is carried out even if nobody waits any more.
func await[T any](ctx context.Context, takes time.Duration, do func() T, lost T) T {
	done := make(chan T, 1)
	go func() {
		time.Sleep(takes)
		done <- do()
	}()
	select {
	case got := <-done:
		return got
	case <-ctx.Done():
		return lost
	}
}

// answer holds the results of a call.
type answer struct {
	row  rows.Row
	list []rows.Row
	rev  int64
	more bool
	err  error
}

// wrap returns the store behind the queue.
func (q *queue) wrap(t table.Table) table.Table {
	call := func(ctx context.Context, tx bool, do func() answer) answer {
		takes, ok := q.admit(tx)
		if !ok {
			return answer{err: table.ErrDown}
		}
		return await(ctx, takes, do, answer{err: table.ErrLost})
	}
	late := context.Background()
	return table.Table{
		Read: func(ctx context.Context, key string) (rows.Row, error) {
			a := call(ctx, false, func() (a answer) { a.row, a.err = t.Read(late, key); return a })
			return a.row, a.err
		},
		List: func(ctx context.Context, prefix string) ([]rows.Row, int64, error) {
			a := call(ctx, false, func() (a answer) { a.list, a.rev, a.err = t.List(late, prefix); return a })
			return a.list, a.rev, a.err
		},
		First: func(ctx context.Context, prefix string, limit int) ([]rows.Row, int64, bool, error) {
			a := call(ctx, false, func() (a answer) { a.list, a.rev, a.more, a.err = t.First(late, prefix, limit); return a })
			return a.list, a.rev, a.more, a.err
		},
		Tail: func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error) {
			a := call(ctx, false, func() (a answer) { a.list, a.rev, a.err = t.Tail(late, prefix, after); return a })
			return a.list, a.rev, a.err
		},
		Write: func(ctx context.Context, edits ...rows.Row) (int64, error) {
			a := call(ctx, true, func() (a answer) { a.rev, a.err = t.Write(late, edits...); return a })
			return a.rev, a.err
		},
	}
}

// The store gets slow, or rejects part of all calls, for longer than a lease. If hosts tried more often the less they get, all leases would
// end in the same second, and no engine would get a load until they are renewed.
func TestLeasesOutlastASlowStore(t *testing.T) {
	const hosts, perHost = 17, 6
	for name, c := range map[string]struct {
		slower time.Duration
		refuse float64
		lasts  time.Duration
	}{
		"slower by 100": {100, 0, 8 * time.Second}, "slower by 100 for long": {100, 0, 30 * time.Second},
		"slower by 50": {50, 0, 60 * time.Second}, "refusing half of all calls": {1, 0.5, 30 * time.Second},
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var engines []string
					for n := range hosts * perHost {
						engines = append(engines, fmt.Sprint("e", n))
					}
					s, q := newSite(t, engines...), &queue{rng: rand.New(rand.NewPCG(seed, 41)), slowdown: 1}
					s.readDelegated.Store(true)
					var list []*host
					for n := range hosts {
						list = append(list, s.startHostWith(fmt.Sprint("10.0.0.", n+1), func(h *host) {
							h.Table = q.wrap(h.Table)
							h.Store = h.Table
							h.ReadDelegated = func() bool { return n > 0 }
						}))
					}
					time.Sleep(20*time.Second + time.Duration(seed)*600*time.Millisecond)
					q.takeCalls()
					time.Sleep(c.lasts)
					usual := q.takeCalls()
					q.degrade(c.slower, c.refuse)
					worst := hosts * perHost
					for range int(c.lasts / (100 * time.Millisecond)) {
						time.Sleep(100 * time.Millisecond)
						ordered := 0
						for _, h := range list {
							ordered += len(h.OwnedEngines())
						}
						worst = min(worst, ordered)
					}
					calls := q.takeCalls()
					q.degrade(1, 0)
					for _, h := range list {
						h.cancel()
					}
					time.Sleep(2 * maxQueued) // lets pending calls end
					t.Logf("%d calls, %d before; %d engines ordered at the least", calls, usual, worst)
					if worst < hosts*perHost {
						t.Errorf("%d of %d engines were ordered at the least, want all", worst, hosts*perHost)
					}
					if calls > 2*usual {
						t.Errorf("%d calls, want at most twice the usual %d", calls, usual)
					}
				})
			})
		}
	}
}
