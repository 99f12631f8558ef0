//go:build !race

package site_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"damaskreach/internal/entry"
	"damaskreach/internal/stand/site"
)

const (
	unread    = 6 * time.Second        // for which the owners read no sessions, well within their lease
	freshGap  = 100 * time.Millisecond // between requests to a node that has just started
	atOnce    = 100 * time.Millisecond // for a refusal that has nothing to wait for
	shortly   = 4 * time.Second        // for a refusal that waits for what it could not learn yet
	foundSoon = time.Second            // for an answer on a node that does not know the others yet
)

// partTable cuts nodes off from the table service, or joins them again.
func (w *world) partTable(cut bool, nodes ...int) {
	for _, i := range nodes {
		w.DB.CutClient(w.Node(i).Conf.Node, cut)
	}
}

// residents returns the models that the runners of some nodes have loaded.
func (w *world) residents(nodes ...int) []string {
	var models []string
	for _, i := range nodes {
		for _, d := range w.Node(i).Runners() {
			models = append(models, d.Resident...)
		}
	}
	return models
}

// probe asks node i for a short answer and returns its status, headers and text, and how long it took.
func (w *world) probe(i, n int, model string) (status int, header http.Header, text string, took time.Duration) {
	w.t.Helper()
	begin := time.Now()
	status, header, body, err := w.Complete(w.ctx, i, model, fmt.Sprintf("fresh %d", n), 3, nil)
	if err != nil {
		w.t.Errorf("request %d to node %d: got error %v, want an answer", n, i, err)
	}
	return status, header, strings.TrimSpace(string(body)), time.Since(begin)
}

// Two nodes start while those that own the runners cannot read the table service for some seconds, so that these neither
// list the new nodes nor send them the state of any runner. Callers of a new node, and those whose adapter version has
// one as home, would be told that no runner takes work, although every runner does.
func TestFreshNodesRefuseNothingForWantOfNews(t *testing.T) {
	both(t, 2, 2, func(w *world, _ bool) {
		w.serves("before", 0, 1)
		models := w.residents(0, 1)
		w.partTable(true, 0, 1)
		w.StartNode(w.ctx, 2)
		w.StartNode(w.ctx, 3)
		begin := time.Now()
		w.pass(time.Second)
		for n := 0; time.Since(begin) < unread; n++ {
			status, _, text, _ := w.probe(2+n%2, n, models[n%len(models)])
			if status != http.StatusOK {
				w.t.Errorf("%s after the start, node %d: got status %d, %s; want 200", time.Since(begin), 2+n%2, status, text)
			}
			w.pass(freshGap)
		}
		w.partTable(false, 0, 1)
		w.pass(quiet)
		w.owners("after", 0, 1, 2, 3)
		w.serves("after", 0, 1, 2, 3)
	})
}

// A node starts that reaches neither the owners of the runners nor the other nodes. It cannot know what they take, and
// its callers get their refusal shortly, as not run and with a time to come back, rather than at their own timeout.
func TestFreshNodeWithoutOwnersRefusesShortly(t *testing.T) {
	both(t, 2, 2, func(w *world, _ bool) {
		w.serves("before", 0, 1)
		for i := range 2 {
			w.Net.Cut(site.Host(2), site.Host(i))
		}
		w.StartNode(w.ctx, 2)
		w.pass(time.Second)
		for n := range 10 {
			status, header, text, took := w.probe(2, n, site.AdapterName(n%adapters)+"@v1")
			if status != http.StatusServiceUnavailable || header.Get(entry.HeaderVerdict) != "not-run" || header.Get("Retry-After") == "" {
				w.t.Errorf("got status %d, verdict %q, Retry-After %q, %s; want 503, not-run and a time", status, header.Get(entry.HeaderVerdict), header.Get("Retry-After"), text)
			}
			if untrue := "no runner of group " + site.Writers + " takes work"; strings.Contains(text, untrue) {
				w.t.Errorf("got %s, want no word of what runners take", text)
			}
			if took > shortly {
				w.t.Errorf("got the refusal after %s, want at most %s", took, shortly)
			}
		}
		for i := range 2 {
			w.Net.Heal(site.Host(2), site.Host(i))
		}
		w.pass(quiet)
		w.serves("after", 0, 1, 2)
	})
}

// The table names no runner of the group. There is nothing to wait for, also on a node that has just started: its caller
// is told so at once, as not run and with a time to come back.
func TestSiteWithoutRunnersRefusesAtOnce(t *testing.T) {
	play(t, 1, 0, true, func(w *world) {
		w.StartNode(w.ctx, 1)
		w.pass(time.Second)
		for i := range 2 {
			status, header, text, took := w.probe(i, 0, site.AdapterName(0)+"@v1")
			if status != http.StatusServiceUnavailable || header.Get(entry.HeaderVerdict) != "not-run" || header.Get("Retry-After") == "" {
				w.t.Errorf("node %d: got status %d, verdict %q, Retry-After %q, %s; want 503, not-run and a time", i, status, header.Get(entry.HeaderVerdict), header.Get("Retry-After"), text)
			}
			if took > atOnce {
				w.t.Errorf("node %d: got the refusal after %s, want at most %s", i, took, atOnce)
			}
		}
		w.KillNode(1)
	})
}

// All nodes of a site start at once. Each reads which others there are before these have written their sessions, and would
// read again only after its poll: callers of a node that owns no runner would wait for that, although every runner has its
// owner already.
func TestNodesThatStartTogetherFindEachOtherSoon(t *testing.T) {
	play(t, 0, 2, true, func(w *world) {
		for i := range 4 {
			w.StartNode(w.ctx, i)
		}
		for w.owned(4) < 2 {
			w.pass(freshGap)
		}
		for i := range 4 {
			status, _, text, took := w.probe(i, i, site.AdapterName(i)+"@v1")
			if status != http.StatusOK || took > foundSoon {
				w.t.Errorf("node %d: got status %d after %s, %s; want 200 within %s", i, status, took, text, foundSoon)
			}
		}
		for i := range 4 {
			w.KillNode(i)
		}
	})
}

// owned returns how many runners the nodes own.
func (w *world) owned(nodes int) int {
	count := 0
	for i := range nodes {
		count += len(w.Node(i).Runners())
	}
	return count
}
