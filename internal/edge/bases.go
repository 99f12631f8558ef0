package edge

import (
	"time"

	"damaskreach/internal/beside"
)

// modelStep is the least time after which a base model that another host has begun to load is known here: a message between hosts and some.
const modelStep = 250 * time.Millisecond

// beside returns what is known of other hosts that load base models. Engines that nobody is known to order yet count as one host each.
func (e *Edge) beside() beside.Beside {
	hosts := e.tenure.Hosts()
	self := hosts[e.Setup().IP]
	before := 0
	for ip, engines := range e.awaitingModels() {
		other, known := hosts[ip]
		switch {
		case !known:
			before += engines
		case other.Before(self):
			before++
		}
	}
	return beside.Beside{Loading: e.news.modelLoads(e.live), Before: before, Step: max(modelStep, e.old())}
}

// awaitingModels returns how many engines without a base model, whose load has not begun, each host orders.
func (e *Edge) awaitingModels() map[string]int {
	await := map[string]int{}
	for _, id := range e.intake.View().WithoutModel() {
		await[e.tenure.Owner(id)]++
	}
	for host, engines := range await {
		if await[host] = engines - e.news.modelsOf(host); await[host] <= 0 {
			delete(await, host)
		}
	}
	return await
}
