//go:build !race

package edge_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/edge"
	"damaskreach/internal/rows"
	"damaskreach/internal/setup"
)

// pagesPerList is how many answers of the store make up a full list of registrations.
const pagesPerList = 6

// listCounter counts the registrations that each host got from the store, and how often full lists were read.
type listCounter struct {
	mu    sync.Mutex
	rows  map[string]int
	lists int
}

// reset starts the counts again.
func (a *listCounter) reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rows, a.lists = map[string]int{}, 0
}

// adapt has a host's reads counted.
func (a *listCounter) adapt(e *edge.Edge, s *setup.Setup) {
	list, tail, ip := e.Table.List, e.Table.Tail, s.IP
	e.Table.List = func(ctx context.Context, prefix string) ([]rows.Row, int64, error) {
		found, rev, err := list(ctx, prefix)
		if prefix == e.TargetPrefix {
			a.add(ip, len(found), 1)
		}
		return found, rev, err
	}
	e.Table.Tail = func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error) {
		found, rev, err := tail(ctx, prefix, after)
		if prefix == e.TargetPrefix {
			a.add(ip, len(found), 0)
		}
		return found, rev, err
	}
}

func (a *listCounter) add(host string, found, lists int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rows[host] += found
	a.lists += lists
}

// totals returns how many hosts read, and how many full lists and rows they got.
func (a *listCounter) totals() (hosts, lists, found int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range a.rows {
		found += n
	}
	return len(a.rows), a.lists, found
}

// A full list of registrations is slow, for its size, a slow processor or a busy store, so that a read of one host for all is soon too
// old to be relied on. If each host then read for itself, the store would serve as many lists at once as there are hosts, each of them
// slower, and this would not end.
func TestSlowListsAreReadByFewHosts(t *testing.T) {
	const span = 10
	for _, hosts := range siteSizes()[1:] {
		for _, c := range []struct {
			took time.Duration // by a full list
			most int           // hosts that may read
		}{
			{400 * time.Millisecond, 1}, {600 * time.Millisecond, 1}, {800 * time.Millisecond, 1}, {1200 * time.Millisecond, 6},
		} {
			t.Run(fmt.Sprint(hosts, "/", c.took), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					a := &listCounter{}
					a.reset()
					p := newTeamFleetOf(t, hosts, 3, hosts*upstreamsPerHost, limitedTeams, a.adapt)
					p.store.setLimits(hosts*upstreamsPerHost/pagesPerList, c.took/time.Duration(hosts*upstreamsPerHost))
					time.Sleep(20 * time.Second)
					a.reset()
					time.Sleep(span * time.Second)
					got, lists, found := a.totals()
					t.Logf("%d hosts, %d upstreams: %d hosts read in %d s, %d full lists, %d rows",
						hosts, hosts*upstreamsPerHost, got, span, lists, found)
					if got > c.most {
						t.Errorf("%d hosts read registrations, want %d at most", got, c.most)
					}
				})
			})
		}
	}
}

// setLimits bounds the changes in one answer, and sets the time that each row takes.
func (s *store) setLimits(maxChanges int, rowTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxChanges, s.rowTime = maxChanges, rowTime
}
