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

// answers is how many answers of the store hold a list of all registrations.
const answers = 6

// asked counts the rows of registrations that each host got from the store, and how often it asked for a list of all.
type asked struct {
	mu    sync.Mutex
	rows  map[string]int
	lists int
}

// begin counts anew.
func (a *asked) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rows, a.lists = map[string]int{}, 0
}

// adapt has a host counted.
func (a *asked) adapt(e *edge.Edge, s *setup.Setup) {
	list, tail, ip := e.Table.List, e.Table.Tail, s.IP
	e.Table.List = func(ctx context.Context, prefix string) ([]rows.Row, int64, error) {
		found, rev, err := list(ctx, prefix)
		if prefix == e.Targets {
			a.note(ip, len(found), 1)
		}
		return found, rev, err
	}
	e.Table.Tail = func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error) {
		found, rev, err := tail(ctx, prefix, after)
		if prefix == e.Targets {
			a.note(ip, len(found), 0)
		}
		return found, rev, err
	}
}

func (a *asked) note(host string, found, lists int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rows[host] += found
	a.lists += lists
}

// counted returns how many hosts read, how many lists of all and rows they got.
func (a *asked) counted() (hosts, lists, found int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range a.rows {
		found += n
	}
	return len(a.rows), a.lists, found
}

// A list of all registrations takes long, for its size, a small processor or a store with much to do. What one host read for all is then too
// old to be relied on soon after it is heard of. Were each host to read for itself from there on, the store and the hosts would have as many
// lists at once as there are hosts, take longer for each, and not get out of that.
func TestSlowReadingsAreLeftToFewHosts(t *testing.T) {
	const span = 10
	for _, hosts := range sizes()[1:] {
		for _, c := range []struct {
			took time.Duration // by a list of all
			most int           // hosts that may read
		}{
			{400 * time.Millisecond, 1}, {600 * time.Millisecond, 1}, {800 * time.Millisecond, 1}, {1200 * time.Millisecond, 6},
		} {
			t.Run(fmt.Sprint(hosts, "/", c.took), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					a := &asked{}
					a.begin()
					p := newPayersOf(t, hosts, 3, hosts*perHost, limited, a.adapt)
					p.store.limit(hosts*perHost/answers, c.took/time.Duration(hosts*perHost))
					time.Sleep(20 * time.Second)
					a.begin()
					time.Sleep(span * time.Second)
					got, lists, found := a.counted()
					t.Logf("%d hosts, %d upstreams: %d hosts read in %d s, %d lists of all, %d rows", hosts, hosts*perHost, got, span, lists, found)
					if got > c.most {
						t.Errorf("%d hosts read registrations, want %d at most", got, c.most)
					}
				})
			})
		}
	}
}

// limit bounds the changes in one answer, and says how long each row takes.
func (s *store) limit(most int, row time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most, s.row = most, row
}
