package edge

import (
	"context"
	"time"

	"damaskreach/internal/busy"
	"damaskreach/internal/turns"
	"damaskreach/internal/usage"
)

// selfEvery is how often the requests under way here are told to the desks of this host.
const selfEvery = 200 * time.Millisecond

// tellSelf does for the engines whose turns this host grants what messages do for those of others.
func (e *Edge) tellSelf(ctx context.Context) {
	for range turns.Every(ctx, selfEvery) {
		e.look()
		ip := e.Setup().IP
		e.giver.RecordUsage(e.uses(ip, e.grants), time.Now())
	}
}

// own returns what this host tells of itself.
func (e *Edge) own() (own busy.Busy, uses []usage.Usage, broke []string) {
	own = busy.Busy{
		Leaving: e.leaving.Load(), Lapsed: e.tenure.Left() <= 0, Away: e.intake.Away(), Cut: e.reach.Cut() > 0,
		Loads: e.loads(), Waits: e.waits(), Models: e.giver.LoadingModels(),
	}
	uses = e.uses(e.Setup().IP, func(id string) bool { return !e.grants(id) })
	return own, uses, e.blame.News()
}

// uses returns what this host's requests use at the engines wanted, and how fast they go there.
func (e *Edge) uses(ip string, wanted func(id string) bool) []usage.Usage {
	list := e.news.uses(ip, 2*e.old(), wanted)
	now := time.Now()
	for i, u := range list {
		event, count := e.speeds.Measured(u.Engine, now)
		list[i].Event, list[i].Events = event.Microseconds(), count
	}
	return list
}

// waits returns the waits at engines whose turns this host grants, and notes them for its own choices.
func (e *Edge) waits() map[string]int {
	ms := map[string]int{}
	now := time.Now()
	for id, wait := range e.giver.QueueWaits(e.grants) {
		e.pick.Waits(id, wait, now)
		if wait >= time.Millisecond {
			ms[id] = int(wait.Milliseconds())
		}
	}
	return ms
}

// loads returns how busy the engines are whose turns this host grants, and notes it for its own choices.
func (e *Edge) loads() map[string]int {
	loads := e.giver.RunningRequests(e.grants)
	now := time.Now()
	for id, n := range loads {
		e.pick.Told(id, n, now)
	}
	return loads
}
