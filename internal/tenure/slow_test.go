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
	// txTakes and callTakes are how long the store takes for a transaction and for another call at its usual speed.
	txTakes, callTakes = 3 * time.Millisecond, 4 * time.Millisecond
	// mostWaiting is how much time of transactions may wait; what comes beyond that is refused.
	mostWaiting = time.Second
)

// queue is the store's, which does one transaction after the other.
type queue struct {
	mu     sync.Mutex
	luck   *rand.Rand
	slower time.Duration // by how many times the store is slower now
	refuse float64       // share of calls that it refuses now
	free   time.Time     // when all that waits is done
	calls  int
}

// harm changes how the store does.
func (q *queue) harm(slower time.Duration, refuse float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slower, q.refuse = slower, refuse
}

// counted returns how many calls came since the last time.
func (q *queue) counted() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	calls := q.calls
	q.calls = 0
	return calls
}

// enter returns how long a call takes; false means that the store refuses it.
func (q *queue) enter(tx bool) (takes time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.calls++
	now := time.Now()
	switch {
	case q.luck.Float64() < q.refuse || tx && q.free.Sub(now) > mostWaiting:
		return 0, false
	case !tx:
		return q.slower * callTakes, true
	case q.free.Before(now):
		q.free = now
	}
	q.free = q.free.Add(q.slower * txTakes)
	return q.free.Sub(now), true
}

// wait waits for an answer; what the store has taken it does, whether anybody still waits or not.
func wait[T any](ctx context.Context, takes time.Duration, do func() T, lost T) T {
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

// answer is what a call brings.
type answer struct {
	row  rows.Row
	list []rows.Row
	rev  int64
	more bool
	err  error
}

// behind returns the store behind the queue.
func (q *queue) behind(t table.Table) table.Table {
	call := func(ctx context.Context, tx bool, do func() answer) answer {
		takes, ok := q.enter(tx)
		if !ok {
			return answer{err: table.ErrDown}
		}
		return wait(ctx, takes, do, answer{err: table.ErrLost})
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

// A store that does one transaction after the other turns slow, or refuses a part of all calls, for longer than a lease. It still answers, though not as
// often as hosts would renew. Were they to try the more the less they get, the leases of all would end in the same second, and no engine
// would get a load until they are back.
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
					s, q := newSite(t, engines...), &queue{luck: rand.New(rand.NewPCG(seed, 41)), slower: 1}
					s.relaxed.Store(true)
					var list []*host
					for n := range hosts {
						list = append(list, s.started(fmt.Sprint("10.0.0.", n+1), func(h *host) {
							h.Table = q.behind(h.Table)
							h.Store = h.Table
							h.Relaxed = func() bool { return n > 0 }
						}))
					}
					time.Sleep(20*time.Second + time.Duration(seed)*600*time.Millisecond)
					q.counted()
					time.Sleep(c.lasts)
					usual := q.counted()
					q.harm(c.slower, c.refuse)
					worst := hosts * perHost
					for range int(c.lasts / (100 * time.Millisecond)) {
						time.Sleep(100 * time.Millisecond)
						ordered := 0
						for _, h := range list {
							ordered += len(h.Mine())
						}
						worst = min(worst, ordered)
					}
					calls := q.counted()
					q.harm(1, 0)
					for _, h := range list {
						h.cancel()
					}
					time.Sleep(2 * mostWaiting) // in which calls end
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
