//go:build !race

package edge_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/edge"
	"damaskreach/internal/rows"
	"damaskreach/internal/rules"
	"damaskreach/internal/setup"
	"damaskreach/internal/table"
)

const (
	// linkRate is the rate of a small host's link, 10 Mbit/s, in bytes a second.
	linkRate = 10e6 / 8
	// encodingOverhead is the factor by which the store's answers are larger than the values in them.
	encodingOverhead = 4.0 / 3
)

// routes is a configuration as operators write it, which grows by routes while existing ones stay.
type routes struct {
	rng  *rand.Rand
	text []string
}

// grow adds routes.
func (r *routes) grow(count int) {
	for range count {
		r.text = append(r.text, fmt.Sprintf(`{"name":"r-%07x","host":"a.example","prefix":"/%08x/","type":"streaming","timeout_ms":15000,`+
			`"target_latency_ms":1000,"priority":1,"service":"wuno96b","max_attempts":2,"public":false,"sticky":true,"resumable":true,`+
			`"target_gap_ms":300}`, r.rng.Uint32()>>4, r.rng.Uint32()))
	}
}

// value returns the row's value for a version.
func (r *routes) value(version int64) string {
	return fmt.Sprintf("%d\n%s", version, strings.Join(r.text, ","))
}

// growingFleet is a fleet on slow links whose configuration grows.
type growingFleet struct {
	*fleet
	routes routes
}

// newGrowingFleet starts hosts in three data centres with a number of routes.
func newGrowingFleet(t *testing.T, hosts, count int) *growingFleet {
	g := &growingFleet{routes: routes{rng: rand.New(rand.NewPCG(1, 31))}}
	g.routes.grow(count)
	g.fleet = newFleetOf(t, hosts, 3, 2*hosts, func(e *edge.Edge, s *setup.Setup) func() bool {
		decode := e.DecodeRules
		e.DecodeRules = func(row rows.Row) (rules.Rules, bool, error) {
			version, _, _ := bytes.Cut(row.Value, []byte("\n"))
			return decode(row.WithValue(version))
		}
		e.Table = g.overNarrowLink(e.Table)
		return func() bool { return false }
	})
	for _, host := range g.hosts {
		g.net.SetRate(host, linkRate)
	}
	return g
}

// overNarrowLink returns the store, with the first configuration, as it answers over a slow link, half of which goes to each answer.
func (g *growingFleet) overNarrowLink(t table.Table) table.Table {
	list, tail := t.List, t.Tail
	first := g.routes.value(1)
	fill := func(found []rows.Row) {
		for i, row := range found {
			if string(row.Value) == "1" {
				found[i] = row.WithValue([]byte(first))
			}
		}
	}
	wait := func(ctx context.Context, found []rows.Row, err error) error {
		size := 0
		for _, row := range found {
			size += len(row.Value)
		}
		select {
		case <-ctx.Done():
			return table.ErrLost
		case <-time.After(time.Duration(2 * encodingOverhead * float64(size) / linkRate * float64(time.Second))):
			return err
		}
	}
	t.List = func(ctx context.Context, prefix string) ([]rows.Row, int64, error) {
		found, rev, err := list(ctx, prefix)
		fill(found)
		return found, rev, wait(ctx, found, err)
	}
	t.Tail = func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error) {
		found, rev, err := tail(ctx, prefix, after)
		return found, rev, wait(ctx, found, err)
	}
	return t
}

// configure writes a version and returns when.
func (g *growingFleet) configure(version int64) time.Time {
	g.store.put("op/config", g.routes.value(version))
	return time.Now()
}

// appliedAt returns when the first and the last host applied a version, or a later one, and how many never did.
func (g *growingFleet) appliedAt(version int64) (first, last time.Time, never int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := map[string]time.Time{}
	for _, l := range g.logged {
		if l.text == "configuration applied" && l.version >= version && at[l.host].IsZero() {
			at[l.host] = l.at
		}
	}
	for _, t := range at {
		if first.IsZero() || t.Before(first) {
			first = t
		}
		if t.After(last) {
			last = t
		}
	}
	return first, last, len(g.hosts) - len(at)
}

// wantApplied checks that all hosts applied a version within a bound after the first one.
func (g *growingFleet) wantApplied(version int64, written time.Time, bound time.Duration) {
	g.t.Helper()
	first, last, never := g.appliedAt(version)
	g.t.Logf("version %d: first host %v after it was written, last %v after that", version, first.Sub(written), last.Sub(first))
	if never > 0 {
		g.t.Errorf("version %d was not applied at %d hosts", version, never)
	}
	if got := last.Sub(first); got > bound {
		g.t.Errorf("version %d: the last host applied it %v after the first, want %v at most", version, got, bound)
	}
}

// wantNoHostLost checks that no host considered another one lost since a time.
func (g *growingFleet) wantNoHostLost(since time.Time) {
	g.t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	lost := 0
	for _, l := range g.logged {
		if l.text == "hosts lost" && l.at.After(since) {
			lost++
		}
	}
	if lost > 0 {
		g.t.Errorf("hosts considered others lost %d times, want none", lost)
	}
}

// Twice, operators add more routes than a slow link carries within the time of a message, and change a value right after. If hosts sent the
// routes inside their heartbeats, they would consider their relays lost and refuse callers for seconds.
func TestHostsStayConnectedWhileConfigurationGrows(t *testing.T) {
	for _, c := range []struct {
		routes int
		bound  time.Duration
	}{{1400, time.Second}, {2800, time.Second}, {14000, 3 * time.Second}} {
		t.Run(strconv.Itoa(c.routes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGrowingFleet(t, 82, 0)
				time.Sleep(14 * time.Second)
				start, version := time.Now(), int64(2)
				for range 2 {
					g.routes.grow(c.routes / 2)
					grew := g.configure(version)
					time.Sleep(1500 * time.Millisecond)
					changed := g.configure(version + 1)
					time.Sleep(20 * time.Second) // for the reader to get both over its slow link
					g.wantApplied(version, grew, c.bound)
					g.wantApplied(version+1, changed, c.bound)
					version += 2
				}
				g.wantNoHostLost(start)
			})
		})
	}
}

// A host starts while the configuration is larger than its link carries in the usual time of a store call. Callers are refused until it has
// one.
func TestStartingHostReadsLargeConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGrowingFleet(t, 6, 14000)
		time.Sleep(14 * time.Second)
		if _, _, never := g.appliedAt(1); never > 0 {
			t.Errorf("%d hosts have no configuration 14 s after their start", never)
		}
	})
}
