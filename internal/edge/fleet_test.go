//go:build !race

package edge_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"damaskreach/internal/edge"
	"damaskreach/internal/pool"
	"damaskreach/internal/rows"
	"damaskreach/internal/rules"
	"damaskreach/internal/setup"
	"damaskreach/internal/stand/memnet"
	"damaskreach/internal/stats"
	"damaskreach/internal/target"
)

const (
	beat  = 1200 * time.Millisecond // between two registrations of an upstream
	drain = 3 * time.Second         // within which no new work goes to a leaving upstream
	// leaving is the value of a registration that says so.
	leaving = "leaving"
)

// fleet is whole entry hosts over a network in memory, one store and upstreams that register there.
type fleet struct {
	t       *testing.T
	net     *memnet.Net
	store   *store
	begun   time.Time
	centres int

	mu    sync.Mutex
	left  map[string]time.Time            // when the store accepted that an upstream leaves
	knew  map[string]map[string]time.Time // when each host learned of it, by upstream and host
	taken map[string]string               // host that gives each upstream its orders
	found map[string]int                  // how many upstreams each host has found since its last start
	said  []line
	hosts []string
	ports []net.Listener
	adapt func(e *edge.Edge, s *setup.Setup) (killed func() bool) // changes a host before it starts
}

// newFleet starts hosts in so many data centres, and upstreams that go on registering.
func newFleet(t *testing.T, hosts, centres, upstreams int) *fleet {
	return newFleetOf(t, hosts, centres, upstreams, func(*edge.Edge, *setup.Setup) func() bool {
		return func() bool { return false }
	})
}

func newFleetOf(t *testing.T, hosts, centres, upstreams int, adapt func(e *edge.Edge, s *setup.Setup) (killed func() bool)) *fleet {
	f := &fleet{
		adapt: adapt,
		t:     t, net: memnet.NewNet(1), store: newStore(), begun: time.Now(), centres: centres,
		left: map[string]time.Time{}, knew: map[string]map[string]time.Time{}, found: map[string]int{}, taken: map[string]string{},
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		time.Sleep(10 * time.Second) // in which hosts end
		for _, l := range f.ports {
			l.Close()
		}
		synctest.Wait()
	})
	f.store.put("op/config", "1")
	for i := range upstreams {
		go f.register(ctx, fmt.Sprint("u", i), time.Duration(i)*beat/time.Duration(upstreams))
	}
	for i := range hosts {
		f.hosts = append(f.hosts, hostIP(i))
		f.start(ctx, i)
	}
	return f
}

// register writes an upstream's registration again and again.
func (f *fleet) register(ctx context.Context, id string, first time.Duration) {
	for wait := first; ctx.Err() == nil; wait = beat {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if !f.hasLeft(id) {
			f.store.put("servers/"+id, "ready")
		}
	}
}

func (f *fleet) hasLeft(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.left[id].IsZero()
}

// vanish has an upstream's registration dropped without a word before.
func (f *fleet) vanish(id string) {
	f.mu.Lock()
	f.left[id] = time.Now()
	f.mu.Unlock()
	f.store.drop("servers/" + id)
}

// orders returns the host that gives an upstream its orders.
func (f *fleet) orders(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.taken[id]
}

// leave has an upstream begin to leave.
func (f *fleet) leave(id string) {
	f.mu.Lock()
	f.left[id] = time.Now()
	f.mu.Unlock()
	f.store.put("servers/"+id, leaving)
}

func hostIP(i int) string {
	return fmt.Sprintf("10.0.%d.%d", i/250, i%250+1)
}

// start runs the program on a host until ctx ends.
func (f *fleet) start(ctx context.Context, i int) {
	ip := hostIP(i)
	s := setup.Setup{
		Name: ip, IP: ip, Centre: fmt.Sprint("dc-", i%f.centres), Callers: ip + ":8000", Ready: ip + ":8001", Lookup: ip + ":8002",
		Peers: ip + ":7380", Cores: 0.2, Memory: 200, Files: 4000, Beat: beat, Drain: drain, Grace: 8 * time.Second, Turn: 3 * time.Second,
		Version: 5 * time.Second, Life: 5 * time.Second, Share: 0.2, Extra: 100, Window: 10 * time.Second, Loads: 5 * time.Second,
	}
	e := &edge.Edge{
		Setup: func() setup.Setup { return s }, Table: f.store.table(ip), Conf: "op/", Targets: "servers/",
		Rules: func(row rows.Row) (rules.Rules, bool, error) {
			version, err := strconv.ParseInt(string(row.Value), 10, 64)
			return rules.Rules{Version: version, Pools: map[string]pool.Pool{"g": {Name: "g"}}}, true, err
		},
		Target: func(row rows.Row) (target.Target, error) {
			id := strings.TrimPrefix(row.Key, "servers/")
			return target.Target{ID: id, Group: "g", Addr: upstreamAddr, Slots: 6, Draining: string(row.Value) == leaving}, nil
		},
		Version: func(rows.Row) (string, int, bool, error) { return "", 0, false, nil },
		Dial:    f.net.Dial(ip), Listen: f.listen, Clock: func() time.Duration { return time.Since(f.begun) },
		Lookup: func(func(string) ([]string, time.Duration)) http.Handler { return http.NotFoundHandler() },
		Ready:  func(func() bool) http.Handler { return http.NotFoundHandler() },
		Log:    zap.New(&lines{fleet: f, host: ip}), Requests: zap.NewNop(), Stats: stats.NewStats(),
	}
	killed := f.adapt(e, &s)
	go func() {
		if err := e.Run(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) && !killed() {
			f.t.Errorf("host %s ended: %v", ip, err)
		}
	}()
}

// listen opens a port that is closed at the end: a process would just end with it.
func (f *fleet) listen(addr string) (net.Listener, error) {
	l, err := f.net.Listen(addr)
	if err == nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.ports = append(f.ports, l)
	}
	return l, err
}

// line is what a host wrote of an upstream, of the configuration or of its end.
type line struct {
	host, text, target string
	at                 time.Time
	version            int64
	leaves             bool
}

// note keeps what a host writes.
func (f *fleet) note(host, text string, fields []zapcore.Field) {
	one := line{host: host, text: text, at: time.Now()}
	for _, field := range fields {
		switch field.Key {
		case "target":
			one.target = field.String
		case "version":
			one.version = field.Integer
		case "draining":
			one.leaves = field.Integer == 1
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.said = append(f.said, one)
}

// lines notes what a host writes of upstreams that leave.
type lines struct {
	fleet *fleet
	host  string
}

func (l *lines) Enabled(zapcore.Level) bool { return true }

func (l *lines) With([]zapcore.Field) zapcore.Core { return l }

func (l *lines) Sync() error { return nil }

func (l *lines) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	return c.AddCore(e, l)
}

func (l *lines) Write(e zapcore.Entry, fields []zapcore.Field) error {
	if strings.HasPrefix(e.Message, "upstream ") || e.Message == "configuration applied" || e.Message == "hosts lost" || e.Message == "stopped" {
		l.fleet.note(l.host, e.Message, fields)
	}
	if e.Message == "upstream found" {
		l.fleet.mu.Lock()
		defer l.fleet.mu.Unlock()
		l.fleet.found[l.host]++
	}
	if e.Message == "engine taken" {
		l.fleet.mu.Lock()
		defer l.fleet.mu.Unlock()
		l.fleet.taken[fields[0].String] = l.host
	}
	if e.Message != "upstream leaves" && e.Message != "upstream gone" {
		return nil
	}
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	for _, f := range fields {
		if f.Key != "target" {
			continue
		}
		if l.fleet.knew[f.String] == nil {
			l.fleet.knew[f.String] = map[string]time.Time{}
		}
		if l.fleet.knew[f.String][l.host].IsZero() {
			l.fleet.knew[f.String][l.host] = time.Now()
		}
	}
	return nil
}

// wantKnown checks that each host learned within a bound of each upstream that left.
func (f *fleet) wantKnown(bound time.Duration) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	late, worst, longest := 0, "", time.Duration(0)
	for id, left := range f.left {
		for _, host := range f.hosts {
			after := f.knew[id][host].Sub(left)
			if f.knew[id][host].IsZero() {
				after = time.Since(left)
			}
			if after > bound {
				late++
			}
			if after > longest {
				longest, worst = after, fmt.Sprintf("%s at %s, left at %v", id, host, left.Sub(f.begun))
			}
		}
	}
	f.t.Logf("latest after %v: %s", longest, worst)
	if late > 0 {
		f.t.Errorf("%d times a host learned of a leaving later than %v, latest %v: %s", late, bound, longest, worst)
	}
}

// turnAway has the store refuse a part of the hosts.
func (f *fleet) turnAway(luck *rand.Rand, share float64) {
	for _, i := range luck.Perm(len(f.hosts))[:int(share*float64(len(f.hosts)))] {
		f.store.refuse(f.hosts[i], true)
	}
}
