package edge

import (
	"context"
	"time"

	"damaskreach/internal/status"
	"damaskreach/internal/ticker"
	"damaskreach/internal/usage"
)

// selfReportInterval is how often the use of engines by this host's requests is reported to its own loader.
const selfReportInterval = 200 * time.Millisecond

// reportToSelf does for the engines whose turns this host grants what messages do for those of other hosts.
func (e *Edge) reportToSelf(ctx context.Context) {
	for range ticker.Every(ctx, selfReportInterval) {
		e.updateFallback()
		ip := e.Setup().IP
		e.loader.RecordUsage(e.engineUsages(ip, e.grantsTurns), time.Now())
	}
}

// ownStatus returns what this host reports of itself.
func (e *Edge) ownStatus() (own status.Status, uses []usage.Usage, broke []string) {
	own = status.Status{
		Leaving: e.leaving.Load(), LeaseLapsed: e.tenure.LeaseLeft() <= 0, StoreDown: e.intake.StoreDown(), Isolated: e.reach.CutFor() > 0,
		Requests: e.engineLoads(), PromptWaits: e.engineWaits(), ModelLoads: e.loader.LoadingModels(),
	}
	uses = e.engineUsages(e.Setup().IP, func(id string) bool { return !e.grantsTurns(id) })
	return own, uses, e.guard.TakeReports()
}

// engineUsages returns what this host's requests use at the wanted engines, and how fast they run there.
func (e *Edge) engineUsages(ip string, wanted func(id string) bool) []usage.Usage {
	list := e.activity.usages(ip, 2*e.maxGossipAge(), wanted)
	now := time.Now()
	for i, u := range list {
		event, count := e.speeds.Measured(u.Engine, now)
		list[i].Event, list[i].Events = event.Microseconds(), count
	}
	return list
}

// engineWaits returns the waits at engines whose turns this host grants, and records them for its own routing.
func (e *Edge) engineWaits() map[string]int {
	ms := map[string]int{}
	now := time.Now()
	for id, wait := range e.loader.QueueWaits(e.grantsTurns) {
		e.pick.SetWait(id, wait, now)
		if wait >= time.Millisecond {
			ms[id] = int(wait.Milliseconds())
		}
	}
	return ms
}

// engineLoads returns the loads of engines whose turns this host grants, and records them for its own routing.
func (e *Edge) engineLoads() map[string]int {
	loads := e.loader.RunningRequests(e.grantsTurns)
	now := time.Now()
	for id, n := range loads {
		e.pick.SetReported(id, n, now)
	}
	return loads
}
