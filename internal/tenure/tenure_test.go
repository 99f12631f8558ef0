package tenure_test

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/rates"
	"damaskreach/internal/rows"
	"damaskreach/internal/stand/rowdb"
	"damaskreach/internal/table"
	"damaskreach/internal/tenure"
)

const turn = 3 * time.Second

// host is one host with its way to the store, its clock and the orders it believes it may give.
type host struct {
	*tenure.Tenure
	mu     sync.Mutex
	cut    bool
	lossy  bool // every second answer to a write is lost
	late   bool // writes reach the store seconds after their callers have given up
	blind  bool // readings get no answer
	writes int
	frozen chan struct{} // closed when the host goes on
	cancel context.CancelFunc
}

// site is some hosts and engines around one store.
type site struct {
	t        *testing.T
	db       *rowdb.DB
	begun    time.Time
	adding   sync.Mutex // for engines that register while hosts run
	engines  map[string]string
	unknown  time.Duration // how long after the start hosts learn of the engines
	measured rates.Rates   // by each host
	deaf     atomic.Bool   // no host hears another one
	relaxed  atomic.Bool   // another host reads the rows for all
	patience time.Duration // for which a host that starts waits for others to tell it all rows
	teller   *host         // that tells them; nil where none does
}

// others asks the host that tells all rows.
func (s *site) others(context.Context, string) (list []rows.Row, rev int64, ok bool) {
	if s.teller == nil {
		return nil, 0, false
	}
	list, rev = s.teller.Rows()
	return list, rev, rev > 0
}

func newSite(t *testing.T, engines ...string) *site {
	s := &site{t: t, db: rowdb.NewDB(), begun: time.Now(), engines: map[string]string{}}
	for _, id := range engines {
		s.engines[id] = "dc"
	}
	return s
}

// known returns the engines that hosts know of now.
func (s *site) known() map[string]string {
	if time.Since(s.begun) < s.unknown {
		return nil
	}
	s.adding.Lock()
	defer s.adding.Unlock()
	return maps.Clone(s.engines)
}

// start starts the program on a host.
func (s *site) start(ip string) *host {
	return s.started(ip, func(*host) {})
}

// started is start with a host that is changed before.
func (s *site) started(ip string, change func(h *host)) *host {
	h := &host{}
	ctx, cancel := context.WithCancel(s.t.Context())
	h.cancel = cancel
	way := h.through(s.wire(h, ip))
	h.Tenure = &tenure.Tenure{
		Table: way, Store: way, Others: s.others, Patience: func() time.Duration { return s.patience }, IP: ip, Peers: ip + ":1", Callers: ip + ":2", Centre: "dc",
		Turn: func() time.Duration { return turn }, Clock: func() time.Duration { return time.Since(s.begun) },
		Engines: s.known, Log: zap.NewNop(), Measured: func() rates.Rates { return s.measured }, Beside: func() []rows.Row { return nil },
		Live: func(string) bool { return !s.deaf.Load() }, Relaxed: s.relaxed.Load, Pause: func() time.Duration { return 500 * time.Millisecond }, Keep: func(string, int64, int64, []rows.Row) {},
	}
	change(h)
	go h.Run(ctx)
	s.t.Cleanup(func() { cancel(); synctest.Wait() })
	return h
}

// through holds the host's calls to the store while it is frozen and fails them while it is cut off.
func (h *host) through(t table.Table) table.Table {
	gate := func(ctx context.Context) error {
		h.mu.Lock()
		frozen, cut := h.frozen, h.cut
		h.mu.Unlock()
		if frozen != nil {
			<-frozen
		}
		if cut {
			<-ctx.Done()
			return table.ErrLost
		}
		return nil
	}
	look := func(ctx context.Context) error {
		if h.isBlind() {
			<-ctx.Done()
			return table.ErrLost
		}
		return gate(ctx)
	}
	return table.Table{
		Read: func(ctx context.Context, key string) (rows.Row, error) {
			if err := look(ctx); err != nil {
				return rows.Row{}, err
			}
			return t.Read(ctx, key)
		},
		List: func(ctx context.Context, prefix string) ([]rows.Row, int64, error) {
			if err := look(ctx); err != nil {
				return nil, 0, err
			}
			return t.List(ctx, prefix)
		},
		First: func(ctx context.Context, prefix string, limit int) ([]rows.Row, int64, bool, error) {
			if err := look(ctx); err != nil {
				return nil, 0, false, err
			}
			return t.First(ctx, prefix, limit)
		},
		Write: func(ctx context.Context, edits ...rows.Row) (int64, error) {
			if err := gate(ctx); err != nil {
				return 0, err
			}
			rev, err := t.Write(ctx, edits...)
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.writes++; h.lossy && h.writes%2 == 0 && err == nil {
				return 0, table.ErrLost
			}
			return rev, err
		},
		Tail: func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error) {
			if err := look(ctx); err != nil {
				return nil, 0, err
			}
			return t.Tail(ctx, prefix, after)
		},
	}
}

func (h *host) setCut(cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cut = cut
}

// order is the last moment at which a host could give an engine an order.
type order struct {
	ip    string
	fence int64
	at    time.Time
}

// watch records for each engine which host may give it orders, every 50 ms, and fails where two hosts may within a turn.
func (s *site) watch(d time.Duration, hosts ...*host) {
	s.t.Helper()
	seen := map[string]order{}
	for range int(d / (50 * time.Millisecond)) {
		time.Sleep(50 * time.Millisecond)
		s.look(seen, hosts...)
	}
}

// look records for each engine which host may give it orders now, and fails where another one could within a turn, or with as high a fence.
func (s *site) look(seen map[string]order, hosts ...*host) {
	s.t.Helper()
	for _, h := range hosts {
		for id := range s.engines {
			fence, ok := h.Fence(id)
			if !ok {
				continue
			}
			before := seen[id]
			if before.ip != "" && before.ip != h.IP && time.Since(before.at) < turn {
				s.t.Errorf("%s orders %s %v after %s, want at least %v", h.IP, id, time.Since(before.at), before.ip, turn)
			}
			if fence < before.fence || fence == before.fence && before.ip != h.IP {
				s.t.Errorf("%s orders %s with fence %d after %s with %d", h.IP, id, fence, before.ip, before.fence)
			}
			seen[id] = order{h.IP, fence, time.Now()}
		}
	}
}

func (s *site) holder(id string, hosts ...*host) string {
	for _, h := range hosts {
		if _, ok := h.Fence(id); ok {
			return h.IP
		}
	}
	return ""
}

// All hosts start together. Every engine soon has one host for its orders; one without would never load anything.
func TestEveryEngineGetsAHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1", "e2", "e3", "e4", "e5")
		a, b, c := s.start("10.0.0.1"), s.start("10.0.0.2"), s.start("10.0.0.3")
		time.Sleep(4 * time.Second)
		for id := range s.engines {
			if s.holder(id, a, b, c) == "" {
				t.Errorf("%s has no host after 4 s", id)
			}
		}
		s.watch(10*time.Second, a, b, c)
	})
}

// The host of an engine loses its way to the store. Its lease ends before another host gives orders: both at once would
// overfill the engine. When it is back it must not go on with the engines that others have taken.
func TestCutOffHostIsSucceededWithoutOverlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1", "e2", "e3")
		a, b := s.start("10.0.0.1"), s.start("10.0.0.2")
		time.Sleep(4 * time.Second)
		a.setCut(true)
		s.watch(tenure.Lease+14*time.Second, a, b)
		for id := range s.engines {
			if got, want := s.holder(id, a, b), "10.0.0.2"; got != want {
				t.Errorf("host of %s = %q, want %q", id, got, want)
			}
		}
		a.setCut(false)
		s.watch(tenure.Lease+14*time.Second, a, b)
	})
}

// A host is frozen in the middle of its renewal, for longer than its lease. The renewal reaches the store when it goes on,
// after others took over; it must not make the host believe in its lease.
func TestRenewalOfAFrozenHostComesTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1", "e2", "e3")
		a, b := s.start("10.0.0.1"), s.start("10.0.0.2")
		time.Sleep(4 * time.Second)
		thaw := make(chan struct{})
		a.mu.Lock()
		a.frozen = thaw
		a.mu.Unlock()
		s.watch(tenure.Lease+9*time.Second, a, b)
		a.mu.Lock()
		a.frozen = nil
		a.mu.Unlock()
		close(thaw)
		s.watch(tenure.Lease+9*time.Second, a, b)
	})
}

// All hosts lose power and come back. Each knows that its own predecessor is dead and goes on with its engines at once;
// waiting for the leases to end would leave callers without loads for ten seconds.
func TestRestartedHostGoesOnAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1", "e2", "e3")
		a, b := s.start("10.0.0.1"), s.start("10.0.0.2")
		time.Sleep(6 * time.Second)
		a.cancel()
		b.cancel()
		time.Sleep(time.Second)
		a, b = s.start("10.0.0.1"), s.start("10.0.0.2")
		time.Sleep(1500 * time.Millisecond)
		for id := range s.engines {
			if s.holder(id, a, b) == "" {
				t.Errorf("%s has no host 1.5 s after the restart", id)
			}
		}
		s.watch(10*time.Second, a, b)
	})
}

// The store loses the answers of writes that it has applied. A host whose renewal was lost this way must find out and go
// on; taken for a foreign write, each lost answer would cost it its engines.
func TestLostAnswersDoNotCostTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1")
		a := s.start("10.0.0.1")
		time.Sleep(4 * time.Second)
		a.mu.Lock()
		a.lossy = true
		a.mu.Unlock()
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if s.holder("e1", a) == "" {
				t.Fatal("the engine has no host, want the lease kept")
			}
		}
	})
}

// Forty hosts start and learn of a hundred engines only after their sessions have begun. Were the number of hosts that give
// orders taken from what is known by then, a handful would hold all engines for good, some of them half; their share of the
// weight store would serve those engines one load after the other while the rest of the hosts had nothing to load.
func TestEnginesAreSpreadThoughLearntOfLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ids []string
		for i := range 100 {
			ids = append(ids, fmt.Sprint("e", i))
		}
		s := newSite(t, ids...)
		s.unknown = 1500 * time.Millisecond
		var hosts []*host
		for i := range 40 {
			hosts = append(hosts, s.start(fmt.Sprint("10.0.0.", i+1)))
		}
		time.Sleep(10 * time.Second)
		held, most, all := 0, 0, 0
		for _, h := range hosts {
			n := len(h.Mine())
			all += n
			most = max(most, n)
			if n > 0 {
				held++
			}
		}
		if all != len(ids) {
			t.Errorf("engines with a host = %d, want %d", all, len(ids))
		}
		if least := 12; held < least {
			t.Errorf("hosts that hold engines = %d, want at least %d", held, least)
		}
		if want := 14; most > want {
			t.Errorf("engines of one host = %d, want at most %d", most, want)
		}
	})
}

// All hosts lose power together. What they had measured of the engines must be there when they come back, before any of them has
// measured anything anew: it is the moment at which most callers wait.
func TestMeasurementsOutliveAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1", "e2")
		s.measured = rates.Rates{Token: 27 * time.Microsecond, Event: 32 * time.Millisecond}
		var hosts []*host
		for _, ip := range []string{"10.0.0.1", "10.0.0.2"} {
			hosts = append(hosts, s.start(ip))
		}
		time.Sleep(5 * time.Second)
		for _, h := range hosts {
			h.cancel()
		}
		synctest.Wait()
		h := s.start("10.0.0.1")
		time.Sleep(100 * time.Millisecond)
		if got := h.Rates(); got != s.measured {
			t.Errorf("Rates of a host that has just started = %v, want %v", got, s.measured)
		}
	})
}

// A site of many hosts starts at once. Before a host knows the others it would take itself for one of the few that give orders,
// and each would write and read its row twice over in the first second, all at the same time.
func TestHostsThatStartTogetherBeginNoSessionInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
		const count = 60
		var hosts []*host
		for i := range count {
			hosts = append(hosts, s.start(fmt.Sprintf("10.0.0.%d", i)))
		}
		time.Sleep(4 * time.Second)
		writes, holders := written(hosts), 0
		for _, h := range hosts {
			if h.Left() > 0 {
				holders++
			}
		}
		if holders < 8 || holders > 12 {
			t.Errorf("hosts that may give orders = %d, want about 8", holders)
		}
		if got, want := writes, count+holders*4; got > want {
			t.Errorf("writes = %d, want at most %d: one a host, and few more for those that give orders", got, want)
		}
		for _, id := range []string{"a", "e", "j"} {
			if s.giver(hosts, id) == "" {
				t.Errorf("engine %s has no host", id)
			}
		}
	})
}

// written returns how often hosts have written to the store.
func written(hosts []*host) int {
	sum := 0
	for _, h := range hosts {
		h.mu.Lock()
		sum += h.writes
		h.mu.Unlock()
	}
	return sum
}

// giver returns the host that may give an engine its orders.
func (s *site) giver(hosts []*host, id string) string {
	for _, h := range hosts {
		if _, ok := h.Fence(id); ok {
			return h.IP
		}
	}
	return ""
}

// Most hosts of a site cannot be heard for a moment. They still share what all may use together, since they go on using it; only
// hosts whose sessions have ended count no more.
func TestHostsThatAreNotHeardStillCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "a")
		var hosts []*host
		for i := range 5 {
			hosts = append(hosts, s.start(fmt.Sprintf("10.0.0.%d", i)))
		}
		time.Sleep(5 * time.Second)
		for _, h := range hosts[1:] {
			h.setCut(true)
		}
		time.Sleep(5 * time.Second)
		if got, want := hosts[0].Count(), 5; got != want {
			t.Errorf("hosts = %d 5 s after the others were cut off, want %d", got, want)
		}
		time.Sleep(time.Minute)
		if got, want := hosts[0].Count(), 1; got != want {
			t.Errorf("hosts = %d after all other sessions have ended, want %d", got, want)
		}
	})
}

// A site runs for long, and a host hears nobody for some seconds: its relays have died. Most hosts do not renew their rows, so that only
// others' hearing tells that they live. It must not end the sessions of all of them, nor take their place and give orders itself, as
// all that hear nobody would at the same moment.
func TestMomentOfSilenceEndsNoSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "a", "b")
		var hosts []*host
		for i := range 20 {
			hosts = append(hosts, s.start(fmt.Sprintf("10.0.0.%d", i)))
		}
		time.Sleep(3 * time.Minute)
		s.relaxed.Store(true)
		time.Sleep(30 * time.Second)
		before := written(hosts)
		s.deaf.Store(true)
		time.Sleep(2 * time.Second)
		s.relaxed.Store(false)
		time.Sleep(6 * time.Second)
		s.deaf.Store(false)
		time.Sleep(5 * time.Second)
		if got, want := len(hosts[0].Hosts()), 20; got != want {
			t.Errorf("hosts = %d after a moment of silence, want %d", got, want)
		}
		if got, want := written(hosts)-before, 8*6; got > want {
			t.Errorf("writes = %d in 13 s, want %d at most: the renewals of those that give orders", got, want)
		}
	})
}
