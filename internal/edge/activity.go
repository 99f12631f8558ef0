package edge

import (
	"sync"
	"time"

	"damaskreach/internal/usage"
)

// activity tracks which adapters this host's requests use, to tell other hosts, and how many base models those are loading.
type activity struct {
	mu          sync.Mutex
	loadsByHost map[string]int                    // base models being loaded, by host
	byEngine    map[string]map[string]*adapterUse // use by this host's requests, by engine and adapter
}

// adapterUse counts the requests in flight with one adapter at one engine. It is kept for a while without any, so that a lost message does
// not leave the engine's owner with too high a count.
type adapterUse struct {
	running int
	endedAt time.Time // when the last request ended
}

func newActivity() *activity {
	return &activity{byEngine: map[string]map[string]*adapterUse{}, loadsByHost: map[string]int{}}
}

// begin records that a request uses an adapter at an engine.
func (act *activity) begin(id, adapter string) {
	act.mu.Lock()
	defer act.mu.Unlock()
	if act.byEngine[id] == nil {
		act.byEngine[id] = map[string]*adapterUse{}
	}
	if act.byEngine[id][adapter] == nil {
		act.byEngine[id][adapter] = &adapterUse{}
	}
	act.byEngine[id][adapter].running++
}

// end records that the request has ended.
func (act *activity) end(id, adapter string) {
	act.mu.Lock()
	defer act.mu.Unlock()
	u := act.byEngine[id][adapter]
	u.running--
	u.endedAt = time.Now()
}

// usages returns what this host's requests use at the wanted engines, or used within the given time.
func (act *activity) usages(host string, within time.Duration, wanted func(id string) bool) []usage.Usage {
	act.mu.Lock()
	defer act.mu.Unlock()
	var list []usage.Usage
	for id, adapters := range act.byEngine {
		if !wanted(id) {
			continue
		}
		one := usage.Usage{Host: host, Engine: id}
		for a, u := range adapters {
			if u.running == 0 && time.Since(u.endedAt) > within {
				delete(adapters, a)
				continue
			}
			one.Running += u.running
			if a != "" && u.running > 0 {
				one.Adapters = append(one.Adapters, a)
			}
		}
		if len(adapters) == 0 {
			delete(act.byEngine, id)
			continue
		}
		list = append(list, one)
	}
	return list
}

// setModelLoads records how many base models the engines of a host are loading.
func (act *activity) setModelLoads(host string, count int) {
	act.mu.Lock()
	defer act.mu.Unlock()
	if count == 0 {
		delete(act.loadsByHost, host)
		return
	}
	act.loadsByHost[host] = count
}

// modelLoads returns how many base models the engines of live hosts are loading.
func (act *activity) modelLoads(alive func(host string) bool) int {
	act.mu.Lock()
	defer act.mu.Unlock()
	sum := 0
	for host, count := range act.loadsByHost {
		if alive(host) {
			sum += count
		}
	}
	return sum
}
