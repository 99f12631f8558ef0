package edge

import (
	"sync"
	"time"

	"damaskreach/internal/usage"
)

// news is what this host has to tell others of its requests, and what they told of their loads.
type news struct {
	mu     sync.Mutex
	models map[string]int             // base models on their way, by host
	used   map[string]map[string]*use // what requests use, by engine and adapter
}

// use counts the requests under way with one adapter at one engine. One with none stays for a while, so that no lost message
// leaves the host that orders the engine with a count that is too high.
type use struct {
	running int
	ended   time.Time // when the last one ended
}

func newNews() *news {
	return &news{used: map[string]map[string]*use{}, models: map[string]int{}}
}

// begin records that a request uses an adapter at an engine.
func (n *news) begin(id, adapter string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.used[id] == nil {
		n.used[id] = map[string]*use{}
	}
	if n.used[id][adapter] == nil {
		n.used[id][adapter] = &use{}
	}
	n.used[id][adapter].running++
}

// end records that it does not any more.
func (n *news) end(id, adapter string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	u := n.used[id][adapter]
	u.running--
	u.ended = time.Now()
}

// uses returns what this host's requests use at the engines wanted, also where the last of them ended within the time given.
func (n *news) uses(host string, within time.Duration, wanted func(id string) bool) []usage.Usage {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []usage.Usage
	for id, adapters := range n.used {
		if !wanted(id) {
			continue
		}
		one := usage.Usage{Host: host, Engine: id}
		for a, u := range adapters {
			if u.running == 0 && time.Since(u.ended) > within {
				delete(adapters, a)
				continue
			}
			one.Running += u.running
			if a != "" && u.running > 0 {
				one.Adapters = append(one.Adapters, a)
			}
		}
		if len(adapters) == 0 {
			delete(n.used, id)
			continue
		}
		list = append(list, one)
	}
	return list
}

// loading takes how many base models are on their way to engines of a host.
func (n *news) loading(host string, count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if count == 0 {
		delete(n.models, host)
		return
	}
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
