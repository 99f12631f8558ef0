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
	registrationInterval = 1200 * time.Millisecond // between two registrations of an upstream
	drainTime            = 3 * time.Second         // within which no new work goes to a leaving upstream
	// leaving is the value of the registration of a leaving upstream.
	leaving = "leaving"
)

// fleet is a set of complete entry hosts on an in-memory network, with one store and upstreams that register there.
type fleet struct {
	t         *testing.T
	net       *memnet.Net
	store     *store
	startedAt time.Time
	centres   int

	mu         sync.Mutex
	leftAt     map[string]time.Time            // when the store accepted that an upstream leaves
	learnedAt  map[string]map[string]time.Time // when each host learned of it, by upstream and host
	owners     map[string]string               // host that owns each upstream
	foundCount map[string]int                  // upstreams that each host found since its last start
	logged     []logLine
	hosts      []string
	ports      []net.Listener
	adapt      func(e *edge.Edge, s *setup.Setup) (killed func() bool) // changes a host before it starts
}

// newFleet starts hosts in a number of data centres, and upstreams that register periodically.
func newFleet(t *testing.T, hosts, centres, upstreams int) *fleet {
	return newFleetOf(t, hosts, centres, upstreams, func(*edge.Edge, *setup.Setup) func() bool {
		return func() bool { return false }
	})
}

func newFleetOf(t *testing.T, hosts, centres, upstreams int, adapt func(e *edge.Edge, s *setup.Setup) (killed func() bool)) *fleet {
	f := &fleet{
		adapt: adapt,
		t:     t, net: memnet.NewNet(1), store: newStore(), startedAt: time.Now(), centres: centres,
		leftAt: map[string]time.Time{}, learnedAt: map[string]map[string]time.Time{}, foundCount: map[string]int{}, owners: map[string]string{},
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		time.Sleep(10 * time.Second) // for hosts to end
		for _, l := range f.ports {
			l.Close()
		}
		synctest.Wait()
	})
	f.store.put("op/config", "1")
	for i := range upstreams {
		go f.register(ctx, fmt.Sprint("u", i), time.Duration(i)*registrationInterval/time.Duration(upstreams))
	}
	for i := range hosts {
		f.hosts = append(f.hosts, hostIP(i))
		f.start(ctx, i)
	}
	return f
}

// register writes an upstream's registration periodically.
func (f *fleet) register(ctx context.Context, id string, first time.Duration) {
	for wait := first; ctx.Err() == nil; wait = registrationInterval {
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
	return !f.leftAt[id].IsZero()
}

// vanish drops an upstream's registration without notice.
func (f *fleet) vanish(id string) {
	f.mu.Lock()
	f.leftAt[id] = time.Now()
	f.mu.Unlock()
	f.store.drop("servers/" + id)
}

// owner returns the host that owns an upstream.
func (f *fleet) owner(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.owners[id]
}

// leave has an upstream begin to leave.
func (f *fleet) leave(id string) {
	f.mu.Lock()
	f.leftAt[id] = time.Now()
	f.mu.Unlock()
	f.store.put("servers/"+id, leaving)
}

func hostIP(i int) string {
	return fmt.Sprintf("10.0.%d.%d", i/250, i%250+1)
}

// start runs the process on a host until ctx ends.
func (f *fleet) start(ctx context.Context, i int) {
	ip := hostIP(i)
	s := setup.Setup{
		Name: ip, IP: ip, Centre: fmt.Sprint("dc-", i%f.centres), Callers: ip + ":8000", Ready: ip + ":8001", Lookup: ip + ":8002",
		Peers: ip + ":7380", Cores: 0.2, Memory: 200, Files: 4000, Beat: registrationInterval, Drain: drainTime,
		Grace: 8 * time.Second, Turn: 3 * time.Second,
		Version: 5 * time.Second, Life: 5 * time.Second, Share: 0.2, Extra: 100, Window: 10 * time.Second, Loads: 5 * time.Second,
	}
	e := &edge.Edge{
		Setup: func() setup.Setup { return s }, Table: f.store.table(ip), ConfPrefix: "op/", TargetPrefix: "servers/",
		DecodeRules: func(row rows.Row) (rules.Rules, bool, error) {
			version, err := strconv.ParseInt(string(row.Value), 10, 64)
			return rules.Rules{Version: version, Pools: map[string]pool.Pool{"g": {Name: "g"}}}, true, err
		},
		DecodeTarget: func(row rows.Row) (target.Target, error) {
			id := strings.TrimPrefix(row.Key, "servers/")
			return target.Target{ID: id, Group: "g", Addr: upstreamAddr, Slots: 6, Draining: string(row.Value) == leaving}, nil
		},
		DecodeVersion: func(rows.Row) (string, int, bool, error) { return "", 0, false, nil },
		Dial:          f.net.Dial(ip), Listen: f.listen, Clock: func() time.Duration { return time.Since(f.startedAt) },
		Lookup: func(func(string) ([]string, time.Duration)) http.Handler { return http.NotFoundHandler() },
		Ready:  func(func() bool) http.Handler { return http.NotFoundHandler() },
		Log:    zap.New(&logCore{fleet: f, host: ip}), RequestLog: zap.NewNop(), Stats: stats.NewStats(),
	}
	killed := f.adapt(e, &s)
	go func() {
		if err := e.Run(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) && !killed() {
			f.t.Errorf("host %s ended: %v", ip, err)
		}
	}()
}

// listen opens a port that is closed at the end of the test, as it would be with its process.
func (f *fleet) listen(addr string) (net.Listener, error) {
	l, err := f.net.Listen(addr)
	if err == nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.ports = append(f.ports, l)
	}
	return l, err
}

// logLine is a line that a host logged about an upstream, the configuration or its end.
type logLine struct {
	host, text, target string
	at                 time.Time
	version            int64
	leaves             bool
}

// record keeps a line that a host logged.
func (f *fleet) record(host, text string, fields []zapcore.Field) {
	one := logLine{host: host, text: text, at: time.Now()}
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
	f.logged = append(f.logged, one)
}

// logCore records the lines of one host.
type logCore struct {
	fleet *fleet
	host  string
}

func (l *logCore) Enabled(zapcore.Level) bool { return true }

func (l *logCore) With([]zapcore.Field) zapcore.Core { return l }

func (l *logCore) Sync() error { return nil }

func (l *logCore) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	return c.AddCore(e, l)
}

func (l *logCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	if strings.HasPrefix(e.Message, "upstream ") || e.Message == "configuration applied" ||
		e.Message == "hosts lost" || e.Message == "stopped" {
		l.fleet.record(l.host, e.Message, fields)
	}
	if e.Message == "upstream found" {
		l.fleet.mu.Lock()
		defer l.fleet.mu.Unlock()
		l.fleet.foundCount[l.host]++
	}
	if e.Message == "engine taken" {
		l.fleet.mu.Lock()
		defer l.fleet.mu.Unlock()
		l.fleet.owners[fields[0].String] = l.host
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
		if l.fleet.learnedAt[f.String] == nil {
			l.fleet.learnedAt[f.String] = map[string]time.Time{}
		}
		if l.fleet.learnedAt[f.String][l.host].IsZero() {
			l.fleet.learnedAt[f.String][l.host] = time.Now()
		}
	}
	return nil
}

// wantLeavesLearned checks that each host learned within a bound of each upstream that left.
func (f *fleet) wantLeavesLearned(bound time.Duration) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	late, worst, longest := 0, "", time.Duration(0)
	for id, left := range f.leftAt {
		for _, host := range f.hosts {
			after := f.learnedAt[id][host].Sub(left)
			if f.learnedAt[id][host].IsZero() {
				after = time.Since(left)
			}
			if after > bound {
				late++
			}
			if after > longest {
				longest, worst = after, fmt.Sprintf("%s at %s, left at %v", id, host, left.Sub(f.startedAt))
			}
		}
	}
	f.t.Logf("latest after %v: %s", longest, worst)
	if late > 0 {
		f.t.Errorf("%d times a host learned that an upstream leaves later than %v, latest %v: %s", late, bound, longest, worst)
	}
}

// refuseHosts has the store refuse a random part of the hosts.
func (f *fleet) refuseHosts(rng *rand.Rand, share float64) {
	for _, i := range rng.Perm(len(f.hosts))[:int(share*float64(len(f.hosts)))] {
		f.store.refuse(f.hosts[i], true)
	}
}
