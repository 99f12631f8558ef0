//go:build !race

package site_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"damaskreach/internal/entry"
	"damaskreach/internal/host"
	"damaskreach/internal/stand/site"
)

const (
	stuckMost = 17 * time.Second // for the refusal of a request that waits for a slot that does not come free
	stuckSoon = 2 * time.Second  // for one that comes when the runner has been stuck for as long
	takenIn   = 30 * time.Second // for the runners of a dead node to have a new owner
)

// lied kills node i while the host list goes on calling its host live, and waits for its runners to be taken over.
func (w *world) lied(i, nodes int) {
	for n := range nodes {
		w.Hosts.Set(host.Host{Addr: site.Host(n), State: host.Live})
	}
	w.KillNode(i)
	w.pass(takenIn)
}

// absent returns the models that are on no runner of the nodes.
func (w *world) absent(nodes ...int) []string {
	held := w.residents(nodes...)
	var models []string
	for a := range adapters {
		if model := site.AdapterName(a) + "@v1"; !slices.Contains(held, model) {
			models = append(models, model)
		}
	}
	return models
}

// The owner of the only runner dies, the host list goes on calling its host live, and the engine ignores fences. Nothing
// may be unloaded, since the dead owner might be paused and still start requests. A caller of an adapter that is not
// loaded there would wait for minutes and then send its truck late; it must be told soon to come back, and later callers at
// once. What is loaded is served.
func TestRunnerThatCanFreeNoSlotRefusesShortly(t *testing.T) {
	play(t, 2, 1, false, func(w *world) {
		w.serves("before", 0, 1)
		owner := w.owners("before", 0, 1)[site.RunnerName(0)]
		other := 1 - owner
		resident := w.residents(owner)
		w.lied(owner, 2)
		missing := w.absent(other)
		for n, most := range []time.Duration{stuckMost, stuckSoon, stuckSoon} {
			status, header, text, took := w.probe(other, n, missing[n])
			if status != http.StatusServiceUnavailable || header.Get(entry.HeaderVerdict) != "not-run" || header.Get("Retry-After") == "" || !strings.Contains(text, `"no-room"`) {
				w.t.Errorf("request %d: got status %d, verdict %q, Retry-After %q, %s; want 503, not-run, a time and no-room", n, status, header.Get(entry.HeaderVerdict), header.Get("Retry-After"), text)
			}
			if took > most {
				w.t.Errorf("request %d: got the refusal after %s, want at most %s", n, took, most)
			}
		}
		for n, model := range resident {
			if status, _, text, _ := w.probe(other, 10+n, model); status != http.StatusOK {
				w.t.Errorf("resident model %s: got status %d, %s; want 200", model, status, text)
			}
		}
		w.Hosts.Set(host.Host{Addr: site.Host(owner), State: host.Gone})
		w.pass(quiet)
		w.serves("after the list was corrected", other)
		w.StartNode(w.ctx, owner)
	})
}

// The same with a second runner, whose owner is well. A request for an adapter that is loaded nowhere must go there, and
// not wait at the runner that can free no slot.
func TestRunnerThatCanFreeNoSlotIsPassedOver(t *testing.T) {
	play(t, 2, 2, false, func(w *world) {
		w.serves("before", 0, 1)
		owners := w.owners("before", 0, 1)
		dead := owners[site.RunnerName(0)]
		if owners[site.RunnerName(1)] == dead {
			w.t.Fatalf("got both runners with node %d, want one with each", dead)
		}
		w.lied(dead, 2)
		for n, model := range w.absent(1 - dead) {
			status, _, text, took := w.probe(1-dead, n, model)
			if status != http.StatusOK || took > stuckSoon {
				w.t.Errorf("%s: got status %d after %s, %s; want 200 within %s", model, status, took, text, stuckSoon)
			}
		}
		w.StartNode(w.ctx, dead)
	})
}

// The table service is down, and a request needs a slot on engines that ignore fences. Its unload cannot be announced and
// is not sent, so that the adapter is still loaded. Were it held for unloaded, its own callers would be refused until the
// outage is over, and after a few such requests nothing would be served.
func TestOutageKeepsWhatIsLoaded(t *testing.T) {
	play(t, 2, 2, false, func(w *world) {
		w.serves("before", 0, 1)
		resident, missing := w.residents(0, 1), w.absent(0, 1)
		w.partAll(2)
		w.DB.SetDown(true)
		for n := range 30 {
			status, _, text, took := w.probe(n%2, n, missing[n%len(missing)])
			if status != http.StatusServiceUnavailable || !strings.Contains(text, `"no-room"`) || took > 2*stuckMost {
				w.t.Errorf("absent model %s: got status %d after %s, %s; want 503 and no-room within %s", missing[n%len(missing)], status, took, text, 2*stuckMost)
			}
			for _, model := range resident {
				if status, _, text, took := w.probe(n%2, 100*n, model); status != http.StatusOK || took > stuckSoon {
					w.t.Errorf("resident model %s: got status %d after %s, %s; want 200 within %s", model, status, took, text, stuckSoon)
				}
			}
			w.pass(time.Second)
		}
		w.DB.SetDown(false)
		w.joinAll(2)
		w.pass(quiet)
		w.serves("after the outage", 0, 1)
	})
}
