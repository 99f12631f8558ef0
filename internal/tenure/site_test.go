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

const orderGap = 3 * time.Second

// host is one host with its access to the store, its clock and the orders that it may send.
type host struct {
	*tenure.Tenure
	mu     sync.Mutex
	cut    bool
	lossy  bool // every second answer to a write is lost
	late   bool // writes are applied seconds after their callers have given up
	blind  bool // reads get no answer
	writes int
	orders map[string]time.Duration // when it could last send each engine an order
	frozen chan struct{}            // closed when the host resumes
	cancel context.CancelFunc
}

// site is some hosts and engines around one store.
type site struct {
	t             *testing.T
	db            *rowdb.DB
	begun         time.Time
	enginesMu     sync.Mutex // guards engines, which register while hosts run
	engines       map[string]string
	engineDelay   time.Duration // how long after the start hosts learn of the engines
	measured      rates.Rates   // by each host
	hostsSilent   atomic.Bool   // no host reaches another one
	readDelegated atomic.Bool   // another host reads the rows for all
	peerTimeout   time.Duration // how long a starting host waits for another one to list all rows
	rowsPeer      *host         // host that lists the rows; nil where none does
}

// listFromPeer lists the rows that rowsPeer knows.
func (s *site) listFromPeer(context.Context, string) (list []rows.Row, rev int64, ok bool) {
	if s.rowsPeer == nil {
		return nil, 0, false
	}
	list, rev = s.rowsPeer.Rows()
	return list, rev, rev > 0
}

func newSite(t *testing.T, engines ...string) *site {
	s := &site{t: t, db: rowdb.NewDB(), begun: time.Now(), engines: map[string]string{}}
	for _, id := range engines {
		s.engines[id] = "dc"
	}
	return s
}

// knownEngines returns the engines that hosts know of now.
func (s *site) knownEngines() map[string]string {
	if time.Since(s.begun) < s.engineDelay {
		return nil
	}
	s.enginesMu.Lock()
	defer s.enginesMu.Unlock()
	return maps.Clone(s.engines)
}

// startHost starts the program on a host.
func (s *site) startHost(ip string) *host {
	return s.startHostWith(ip, func(*host) {})
}

// startHostWith starts the program on a host that change has modified.
func (s *site) startHostWith(ip string, change func(h *host)) *host {
	h := &host{}
	ctx, cancel := context.WithCancel(s.t.Context())
	h.cancel = cancel
	way := h.gated(s.storeAdapter(h, ip))
	h.Tenure = &tenure.Tenure{
		Table: way, Store: way, ListFromPeers: s.listFromPeer, PeerTimeout: func() time.Duration { return s.peerTimeout },
		IP: ip, PeerAddr: ip + ":1", CallerAddr: ip + ":2", Centre: "dc",
		OrderGap: func() time.Duration { return orderGap }, Clock: func() time.Duration { return time.Since(s.begun) },
		Engines: s.knownEngines, Log: zap.NewNop(), LocalRates: func() rates.Rates { return s.measured },
		ExtraRows: func() []rows.Row { return nil }, PartMemory: func() time.Duration { return partMemory },
		Live: func(string) bool { return !s.hostsSilent.Load() }, ReadDelegated: s.readDelegated.Load,
		RetryDelay: func() time.Duration { return 500 * time.Millisecond }, Publish: func(string, int64, int64, []rows.Row) {},
	}
	change(h)
	go h.Run(ctx)
	s.t.Cleanup(func() { cancel(); synctest.Wait() })
	return h
}

// gated blocks the host's calls to the store while it is frozen and fails them while it is cut off.
func (h *host) gated(t table.Table) table.Table {
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

// order is the latest time at which a host could send an engine an order.
type order struct {
	ip    string
	fence int64
	at    time.Time
}

// watch checks every 50 ms which host may order each engine, and fails where two hosts may within the gap between orders.
func (s *site) watch(d time.Duration, hosts ...*host) {
	s.t.Helper()
	lastOrders := map[string]order{}
	for range int(d / (50 * time.Millisecond)) {
		time.Sleep(50 * time.Millisecond)
		s.checkOrders(lastOrders, hosts...)
	}
}

// checkOrders records which host may order each engine now, and fails where another one could within the gap, or with as high a fence.
func (s *site) checkOrders(lastOrders map[string]order, hosts ...*host) {
	s.t.Helper()
	for _, h := range hosts {
		for id := range s.engines {
			fence, ok := h.Fence(id)
			if !ok {
				continue
			}
			h.noteOrder(id, time.Since(s.begun))
			before := lastOrders[id]
			if before.ip != "" && before.ip != h.IP && time.Since(before.at) < orderGap {
				s.t.Errorf("%s orders %s %v after %s, want at least %v", h.IP, id, time.Since(before.at), before.ip, orderGap)
			}
			if fence < before.fence || fence == before.fence && before.ip != h.IP {
				s.t.Errorf("%s orders %s with fence %d after %s with %d", h.IP, id, fence, before.ip, before.fence)
			}
			lastOrders[id] = order{h.IP, fence, time.Now()}
		}
	}
}

// noteOrder notes that a host could send an engine an order.
func (h *host) noteOrder(id string, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.orders == nil {
		h.orders = map[string]time.Duration{}
	}
	h.orders[id] = at
}

// lastOrder returns when a host could last send an engine an order.
func (h *host) lastOrder(id string) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.orders[id]
	return at, ok
}

func (s *site) owner(id string, hosts ...*host) string {
	for _, h := range hosts {
		if _, ok := h.Fence(id); ok {
			return h.IP
		}
	}
	return ""
}
