package tenure_test

import (
	"context"
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
	orders map[string]time.Duration // when it could last give each engine an order
	frozen chan struct{}            // closed when the host goes on
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
			h.ordered(id, time.Since(s.begun))
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

// ordered notes that a host could give an engine an order.
func (h *host) ordered(id string, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.orders == nil {
		h.orders = map[string]time.Duration{}
	}
	h.orders[id] = at
}

// last returns when a host could last give an engine an order.
func (h *host) last(id string) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.orders[id]
	return at, ok
}

func (s *site) holder(id string, hosts ...*host) string {
	for _, h := range hosts {
		if _, ok := h.Fence(id); ok {
			return h.IP
		}
	}
	return ""
}
