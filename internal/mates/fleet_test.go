package mates_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"damaskreach/internal/gossip"
	"damaskreach/internal/mate"
	"damaskreach/internal/mates"
	"damaskreach/internal/roster"
	"damaskreach/internal/status"
	"damaskreach/internal/stock"
	"damaskreach/internal/usage"
)

// latency is the network latency of a message.
const latency = 2 * time.Millisecond

// fleet is the hosts of a site and the network between them.
type fleet struct {
	t       *testing.T
	size    int
	centres int

	mu          sync.Mutex
	hosts       map[string]*host
	cut         map[string]bool // hosts that are cut off from all others
	partitioned bool            // the network is partitioned between the lower and the upper half of the hosts
	sent        int
	bytes       int
	pairs       map[[2]string]bool
	answer      map[string]int // messages that each host answered
}

type host struct {
	*mates.Mates
	fleet  *fleet
	cancel context.CancelFunc

	mu             sync.Mutex
	loads          map[string]int
	usages         []usage.Usage
	receivedUsages []usage.Usage // of engines that it owns
	stocks         map[string]stock.Stock
	breaks         []string
}

func newFleet(t *testing.T, hosts, centres int) *fleet {
	f := &fleet{
		t: t, size: hosts, hosts: map[string]*host{}, centres: centres,
		cut: map[string]bool{}, pairs: map[[2]string]bool{}, answer: map[string]int{},
	}
	for i := range hosts {
		f.start(i)
	}
	t.Cleanup(func() {
		for _, h := range f.hosts {
			h.cancel()
		}
		time.Sleep(time.Second) // for messages in progress
		synctest.Wait()
	})
	return f
}

func ip(i int) string { return fmt.Sprintf("10.0.%d.%d", i/250, i%250) }

func (f *fleet) mate(i int) mate.Mate {
	return mate.Mate{IP: ip(i), PeerAddr: ip(i), CallerAddr: ip(i), Centre: fmt.Sprint("dc-", i%f.centres), Cores: 0.2}
}

// start starts a host that knows of the others from the store's rows only.
func (f *fleet) start(i int) *host {
	h := &host{fleet: f, stocks: map[string]stock.Stock{}}
	h.Mates = mates.NewMates(f.mate(i))
	h.Roster = roster.NewRoster(ip(i), func(engine string) string { return engine[:len(engine)-len("/e")] })
	h.Log = zap.NewNop()
	h.Mates.Hosts = func() map[string]mate.Mate {
		all := make(map[string]mate.Mate, f.size)
		for n := range f.size {
			all[ip(n)] = f.mate(n)
		}
		return all
	}
	h.OwnStatus = func() (status.Status, []usage.Usage, []string) {
		h.mu.Lock()
		defer h.mu.Unlock()
		broke := h.breaks
		h.breaks = nil
		return status.Status{Requests: h.loads}, h.usages, broke
	}
	h.Observe = h.observe
	h.Attach = func(string, *gossip.Gossip) {}
	h.Send = func(ctx context.Context, to mate.Mate, g gossip.Gossip) (gossip.Gossip, error) {
		return f.ask(ctx, ip(i), to.IP, g)
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	h.cancel = cancel
	f.mu.Lock()
	f.hosts[ip(i)] = h
	f.mu.Unlock()
	go h.Run(ctx)
	return h
}

func (h *host) observe(g gossip.Gossip) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range g.Stocks {
		h.stocks[s.ID] = s
	}
	if len(g.Usages) > 0 {
		h.receivedUsages = g.Usages
	}
}

var errCut = errors.New("host is unreachable")

// ask carries a request and its answer. A host that is cut off gets and sends nothing, so calls to it end with their ctx.
func (f *fleet) ask(ctx context.Context, from, to string, g gossip.Gossip) (gossip.Gossip, error) {
	if !f.deliver(ctx, from, to, g) {
		return gossip.Gossip{}, errCut
	}
	f.mu.Lock()
	h, up := f.hosts[to]
	f.mu.Unlock()
	if !up {
		return gossip.Gossip{}, errCut
	}
	answer := h.Answer(g)
	if !f.deliver(ctx, to, from, answer) {
		return gossip.Gossip{}, errCut
	}
	return answer, nil
}

func (f *fleet) deliver(ctx context.Context, from, to string, g gossip.Gossip) bool {
	data, err := msgpack.Marshal(g)
	if err != nil {
		f.t.Errorf("Marshal() = %v, want nil", err)
	}
	f.mu.Lock()
	f.sent++
	f.bytes += len(data)
	f.pairs[[2]string{min(from, to), max(from, to)}] = true
	f.answer[to]++
	cut := f.cut[from] || f.cut[to] || f.partitioned && f.half(from) != f.half(to)
	f.mu.Unlock()
	if cut {
		<-ctx.Done()
		return false
	}
	time.Sleep(latency)
	return true
}

func (f *fleet) setCut(cut bool, hosts ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range hosts {
		f.cut[ip(i)] = cut
	}
}

func (f *fleet) setPartitioned(apart bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned = apart
}

func (f *fleet) half(host string) bool {
	for i := range f.size / 2 {
		if ip(i) == host {
			return true
		}
	}
	return false
}

// count resets the counters and returns their values.
func (f *fleet) count() (sent, bytes, pairs, busiest int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.answer {
		busiest = max(busiest, n)
	}
	sent, bytes, pairs = f.sent, f.bytes, len(f.pairs)
	f.sent, f.bytes = 0, 0
	clear(f.pairs)
	clear(f.answer)
	return sent, bytes, pairs, busiest
}

// countAlive returns how many other hosts host i counts as alive.
func (f *fleet) countAlive(i int) int {
	n := 0
	for other := range f.size {
		if other != i && f.hosts[ip(i)].IsAlive(ip(other)) {
			n++
		}
	}
	return n
}

// wantAlive checks that each host that isn't excluded counts so many others as alive.
func (f *fleet) wantAlive(what string, want int, but map[int]bool) {
	f.t.Helper()
	for i := range f.size {
		if but[i] {
			continue
		}
		if got := f.countAlive(i); got != want {
			f.t.Errorf("%s: host %d sees %d others, want %d", what, i, got, want)
			return
		}
	}
}
