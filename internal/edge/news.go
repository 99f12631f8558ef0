package edge

import (
	"sync"

	"damaskreach/internal/stock"
)

// news is what this host has to tell others, and what they told of their loads.
type news struct {
	mu     sync.Mutex
	stocks map[string]stamped // newest of each engine that this host orders
	number int64              // counts changes of stocks
	sent   map[string]int64   // number up to which each host was told
	models map[string]int     // base models on their way, by host
	used   map[string]uses    // adapters in use at each engine, or since the last message to the host that orders it
}

type stamped struct {
	stock.Stock
	number int64
}

// uses counts the requests under way by adapter; one with none stays until it was told.
type uses map[string]int

func newNews() *news {
	return &news{
		stocks: map[string]stamped{}, sent: map[string]int64{}, used: map[string]uses{}, models: map[string]int{},
	}
}

// put takes what an engine holds now.
func (n *news) put(s stock.Stock) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s.Recent = nil // told to every host it would fill the narrow links of a large site
	n.number++
	n.stocks[s.ID] = stamped{s, n.number}
}

// held returns what changed since the last message to a host. A message that got lost is made up for by registrations.
func (n *news) held(to string) []stock.Stock {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []stock.Stock
	for _, s := range n.stocks {
		if s.number > n.sent[to] {
			list = append(list, s.Stock)
		}
	}
	n.sent[to] = n.number
	return list
}

// begin records that a request uses an adapter at an engine.
func (n *news) begin(id, adapter string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.used[id] == nil {
		n.used[id] = uses{}
	}
	n.used[id][adapter]++
}

// end records that it does not any more.
func (n *news) end(id, adapter string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.used[id][adapter]--
}

// uses returns what to tell the host that orders the given engines: the adapters in use, and the requests under way.
func (n *news) uses(owned func(id string) bool) (list map[string][]string, running map[string]int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	list, running = map[string][]string{}, map[string]int{}
	for id, adapters := range n.used {
		if !owned(id) {
			continue
		}
		for a, count := range adapters {
			if a != "" {
				list[id] = append(list[id], a)
			}
			running[id] += count
			if count <= 0 {
				delete(adapters, a)
			}
		}
		if len(adapters) == 0 {
			delete(n.used, id)
		}
	}
	return list, running
}

// loading takes how many base models are on their way to engines of a host.
func (n *news) loading(host string, count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.models[host] = count
}

// modelLoads adds them over the hosts that are alive.
func (n *news) modelLoads(alive func(host string) bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := 0
	for host, count := range n.models {
		if alive(host) {
			sum += count
		}
	}
	return sum
}
