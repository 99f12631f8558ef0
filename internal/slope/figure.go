// Package slope measures what each part of a node costs at several sizes and computes from the slopes what it costs at the
// size to design for. 'make slopes' runs it and writes the figures into docs/CAPACITY.md.
package slope

import (
	"errors"
	"fmt"
	"math"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/call"
	"damaskreach/internal/frame"
	"damaskreach/internal/rows"
)

// The size to design for.
const (
	nodes    = 1300.0
	runners  = 10000.0
	adapters = 57000.0
	regions  = 6.0
	requests = 15000.0 // a second
	changes  = 50000.0 // of the configuration a day
)

const (
	siteNodes   = nodes / regions
	siteRunners = runners / regions
	ownRunners  = runners / nodes
	ownRequests = requests / nodes
	plansEach   = 1.5 // looks at ownership a second: each tick, and each reading of the rows
	day         = 86400.0
)

// figure is something measured at several sizes.
type figure struct {
	name   string
	unit   string
	sizes  []float64
	at     float64 // size that is computed for
	points []sample
	line   line
}

func newFigure(name, unit string, at float64, sizes []float64, once func(size int) float64) figure {
	f := figure{name: name, unit: unit, sizes: sizes, at: at}
	var ys []float64
	for _, size := range sizes {
		s := measure(func() float64 { return once(int(size)) })
		f.points = append(f.points, s)
		ys = append(ys, s.low)
	}
	f.line = fit(sizes, ys)
	return f
}

// value returns the figure at the size to design for: as measured there, or by the line where that size was not measured.
func (f figure) value() float64 {
	for i, size := range f.sizes {
		if math.Abs(size-f.at) < 1 {
			return f.points[i].low
		}
	}
	return f.line.at(f.at)
}

func (f figure) row() string {
	var points []string
	noise := 0.0
	for i, p := range f.points {
		points = append(points, fmt.Sprintf("%.0f: %s", f.sizes[i], strings.TrimSpace(amount(p.low, ""))))
		noise = max(noise, p.noise)
	}
	return fmt.Sprintf("| %s | %s | %s | %.0f%% | %s at %.0f |\n", f.name, strings.Join(points, "; "),
		amount(f.line.slope, f.unit), 100*noise, amount(f.value(), f.unit), f.at)
}

// figures are all that the page needs.
type figures struct {
	adapter, runner, digest, owned, session, conn   figure // bytes
	cold, plan, home, choose, learn, encode, decide figure // microseconds
	change                                          figure
	bytes                                           int // of one digest on the wire
	row                                             int // of a session row with its key
	used                                            int // bytes of a report of what one adapter used of its limit, and of the answer
}

func measureParts(b bubble) (figures, error) {
	var f figures
	var fault error
	small := []float64{1000, 3000, 10000}
	fleet := []float64{15, 300, 1667}
	f.adapter = newFigure("memory of adapter rows in force", "B", adapters, []float64{3000, 14000, 57000}, func(n int) float64 {
		all := many(n, adapterRow)
		defer runtime.KeepAlive(all)
		return kept(func() any { return newCatalog(all) })
	})
	f.runner = newFigure("memory of runner rows in force", "B", siteRunners, small, func(n int) float64 {
		all := many(n, runnerRow)
		defer runtime.KeepAlive(all)
		return kept(func() any { return newCatalog(all) })
	})
	f.digest = newFigure("memory of digests at a home", "B", siteRunners, small, func(n int) float64 { return kept(func() any { return newPlace(n) }) })
	f.owned = newFigure("memory of runners owned, 24 requests each", "B", ownRunners, []float64{32, 128, 512}, func(n int) float64 {
		return kept(func() any { return many(n, newOwned) })
	})
	f.session = newFigure("memory of sessions", "B", siteNodes, []float64{200, 600, 1300}, func(n int) float64 { return kept(func() any { return newMember(n) }) })
	f.conn = newFigure("memory of idle ends of connections", "B", 2*siteNodes, []float64{50, 100, 200}, func(n int) float64 {
		each, err := measureConn(b, n/2)
		fault = errors.Join(fault, err)
		return float64(n) * each
	})
	f.cold = newFigure("who should own which runner, 7.7 runners a node, none has an owner", "us", siteRunners, fleet, func(n int) float64 {
		c, m := newCatalog(many(n, runnerRow)), newMember(max(2, n*13/100))
		return cost(func() { plan(c, m, nil) })
	})
	f.plan = newFigure("the same, all have one", "us", siteRunners, fleet, func(n int) float64 {
		c, m := newCatalog(many(n, runnerRow)), newMember(max(2, n*13/100))
		held := plan(c, m, nil)
		return cost(func() { plan(c, m, held) })
	})
	f.home = newFigure("finding the home of an adapter, by nodes", "us", siteNodes, []float64{7, 70, 217}, func(n int) float64 {
		m := newMember(n)
		return cost(func() { home(m) })
	})
	f.choose = newFigure("choosing a runner at the home, by runners", "us", siteRunners, fleet, func(n int) float64 {
		p := newPlace(n)
		c := call.Call{ID: "r", Attempt: "a", Tenant: "t", Adapter: "adapter-00007", Version: "v1", Group: "assist", Tokens: 128}
		return cost(func() {
			d, _, _ := p.Choose(time.Now(), c, nil)
			p.Settle(time.Now(), c, d.Runner, nil)
		})
	})
	return f, fault
}

func measureSmall(f *figures) {
	f.bytes = len(encoded(newDigest(1234)))
	question := map[string]any{"l": uint32(1 << 31), "k": []string{"requests/adapter/" + model(1)}, "u": []float64{1}}
	answer := map[string]any{"l": uint32(1 << 31), "s": true, "u": []float64{1}}
	f.used = 2*frame.Overhead + len("limits") + 1 + len(encoded(question)) + len(encoded(answer))
	s := session(1)
	f.row = len(s.Key()) + len(s.Encode())
	f.learn = newFigure("decoding and learning digests", "us", siteRunners, []float64{15, 300, 1667}, func(n int) float64 {
		p := newPlace(n)
		data := encoded(many(n, newDigest))
		return cost(func() {
			for _, d := range decoded(data) {
				p.UpdateDigest(time.Now(), d)
			}
		})
	})
	f.encode = newFigure("encoding digests for one peer", "us", ownRunners, []float64{1, 8, 64}, func(n int) float64 {
		all := many(n, newDigest)
		return cost(func() { encoded(all) })
	})
	f.decide = newFigure("an owner's decisions of one request", "us", 24, []float64{4, 12, 24}, func(n int) float64 {
		s := newOwned(1)
		k := 0
		return cost(func() {
			for range n {
				k++
				c := call.Call{Attempt: fmt.Sprint("x", k), Tenant: "tenant", Adapter: fmt.Sprintf("adapter-%05d", slots+k%slots), Version: "v1", Tokens: 128}
				s.Submit(time.Now(), c)
				s.Finish(time.Now(), c.Attempt, 128)
			}
		})
	})
	f.change = newFigure("one changed adapter", "us", adapters, []float64{3000, 14000, 57000}, func(n int) float64 {
		c := newCatalog(many(n, adapterRow))
		row := adapterRow(n / 2)
		rev := int64(n + 10)
		return cost(func() {
			rev++
			row.Rev = rev
			c, _ = c.With([]rows.Row{row})
		})
	})
}

// bubble runs a function in virtual time.
type bubble = func(run func())

// Write measures everything, for about a minute, and replaces the figures of a page. What needs virtual time runs in
// bubbles, which only tests can make.
func Write(page string, bubble func(run func())) error {
	begin := time.Now()
	f, err := measureParts(bubble)
	if err != nil {
		return err
	}
	measureSmall(&f)
	w, err := measureSites(bubble)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("Go %s, %d cores shared with other work, %d rounds, %.0f s in all.\n\n", strings.TrimPrefix(runtime.Version(), "go"), runtime.NumCPU(), rounds, time.Since(begin).Seconds()) +
		f.table() + w.text() + f.compute(w)
	return replace(page, text)
}

const (
	mark    = "<!-- figures written by make slopes -->\n"
	endMark = "<!-- end of the figures -->\n"
)

// replace puts text between the marks of a page.
func replace(path, text string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	before, rest, found := strings.Cut(string(data), mark)
	_, after, ended := strings.Cut(rest, endMark)
	if !found || !ended {
		return merry.Errorf("%s has no marks for the figures", path)
	}
	return os.WriteFile(path, []byte(before+mark+text+endMark+after), 0o644)
}
