package opctl

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"damaskreach/internal/sess"
	"damaskreach/internal/totals"
)

const (
	listedNodes = 20 // more are listed only where something is the matter with them
	listedIll   = 20 // runners listed that are closed or do not answer
	listedSites = 20 // data centres listed
)

// view is the status of a site as operators read it.
type view struct {
	nodes    []nodeStatus
	all      bool
	sums     totals.Totals
	known    int
	newest   int64  // revision of a configuration change that some node may not have; 0 for none
	doubt    string // why newest is not known; empty where it is
	silent   int
	lagging  int
	refusals map[string]int64
	centres  map[string]centre
}

type centre struct {
	nodes  int
	totals totals.Totals
}

func newView(nodes []nodeStatus, newest int64, all bool) *view {
	v := &view{nodes: nodes, newest: newest, all: all, refusals: map[string]int64{}, centres: map[string]centre{}}
	for _, n := range nodes {
		v.known = max(v.known, n.Known)
	}
	for _, n := range nodes {
		v.add(n)
	}
	return v
}

func (v *view) add(n nodeStatus) {
	c := v.centres[n.Session.Centre]
	v.centres[n.Session.Centre] = centre{nodes: c.nodes + 1, totals: c.totals.Plus(n.Totals)}
	v.sums = v.sums.Plus(n.Totals)
	for code, times := range n.Refusals {
		v.refusals[code] += times
	}
	switch {
	case n.silent != "":
		v.silent++
	case n.Complete < v.newest:
		v.lagging++
	}
}

// String returns sums first, then data centres, then what needs attention.
func (v *view) String() string {
	var b strings.Builder
	v.writeSums(&b)
	v.writeCentres(&b)
	v.writeNodes(&b)
	v.writeIll(&b)
	return strings.TrimRight(b.String(), "\n")
}

func (v *view) writeSums(b *strings.Builder) {
	s := v.sums
	count := len(v.nodes)
	fmt.Fprintf(b, "nodes      %d, of which %d do not answer\n", count, v.silent)
	fmt.Fprintf(b, "revision   %s\n", v.revision())
	fmt.Fprintf(b, "runners    %d in the table, %d with an owner\n", v.known, s.Runners)
	fmt.Fprintf(b, "slots      %d, of which %d free; %d loads waiting\n", s.Slots, s.Free, s.Loading)
	fmt.Fprintf(b, "requests   %d running, room for %d; %d queued\n", s.Running, s.Batch, s.Waiting)
	fmt.Fprintf(b, "refusals   %s\n", refusals(v.refusals))
}

// revision says what is in force.
func (v *view) revision() string {
	all := fmt.Sprintf("every change up to %d is in force on every node that answers", oldest(v.nodes))
	switch {
	case v.doubt != "":
		return all + "; not known whether there are newer ones: " + v.doubt
	case v.lagging > 0:
		return fmt.Sprintf("%s; %d lag behind change %d", all, v.lagging, v.newest)
	}
	return all + ", and there is none newer"
}

// refusals lists codes, the most frequent first.
func refusals(counts map[string]int64) string {
	if len(counts) == 0 {
		return "none"
	}
	codes := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	var parts []string
	for _, code := range codes {
		parts = append(parts, fmt.Sprintf("%s %d", code, counts[code]))
	}
	return strings.Join(parts, ", ")
}

func (v *view) writeCentres(b *strings.Builder) {
	w := columns(b)
	fmt.Fprintln(w, "data centre\tnodes\trunners\tslots\tfree\tloading\trunning\tqueued\t")
	names := slices.Sorted(maps.Keys(v.centres))
	for _, name := range names[:min(len(names), listedSites)] {
		c := v.centres[name]
		t := c.totals
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", name, c.nodes, t.Runners, t.Slots, t.Free, t.Loading, t.Running, t.Waiting)
	}
	_ = w.Flush() // a builder takes everything
}

func (v *view) writeNodes(b *strings.Builder) {
	short := len(v.nodes) > listedNodes && !v.all
	var listed []nodeStatus
	for _, n := range v.nodes {
		if !short || v.attention(n) {
			listed = append(listed, n)
		}
	}
	if len(listed) == 0 {
		return
	}
	w := columns(b)
	fmt.Fprintln(w, "node\tdata centre\trunners\tfree\tloading\trunning\tqueued\trevision\tstate")
	cut := 0
	if short {
		cut = max(0, len(listed)-listedNodes)
	}
	for _, n := range listed[:len(listed)-cut] {
		t := n.Totals
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n",
			n.Session.Node, n.Session.Centre, t.Runners, t.Free, t.Loading, t.Running, t.Waiting, n.Complete, v.state(n))
	}
	_ = w.Flush() // a builder takes everything
	if cut > 0 {
		fmt.Fprintf(b, "and %d more nodes that need attention; --all lists every node\n", cut)
	}
}

// attention reports whether something is the matter with a node.
func (v *view) attention(n nodeStatus) bool {
	return v.state(n) != sess.Live
}

func (v *view) state(n nodeStatus) string {
	switch {
	case n.silent != "":
		return n.silent
	case len(n.Rejected) > 0:
		return "rejects " + n.Rejected[0]
	case n.Complete < v.newest:
		return fmt.Sprintf("lags: has no change after %d", n.Complete)
	}
	return n.Session.State
}

func (v *view) writeIll(b *strings.Builder) {
	count := 0
	w := columns(b)
	for _, n := range v.nodes {
		for _, d := range n.Ill {
			if count == 0 {
				fmt.Fprintln(w, "runner\tgroup\towner\tfence\trunning\tqueued\tstate")
			}
			count++
			if count > listedIll {
				continue
			}
			state := "closed"
			if d.Sick {
				state = "does not answer"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", d.Runner, d.Group, n.Session.Node, d.Fence, d.Running, d.Waiting, state)
		}
	}
	_ = w.Flush() // a builder takes everything
	if count > listedIll {
		fmt.Fprintf(b, "and %d more runners that are closed or do not answer\n", count-listedIll)
	}
}

// columns starts a table after an empty line.
func columns(b *strings.Builder) *tabwriter.Writer {
	return tabwriter.NewWriter(&gap{out: b}, 0, 0, 2, ' ', 0)
}

// gap writes an empty line before the first text.
type gap struct {
	out  io.Writer
	done bool
}

// Write passes text on.
func (g *gap) Write(p []byte) (int, error) {
	if !g.done && len(p) > 0 {
		g.done = true
		if _, err := io.WriteString(g.out, "\n"); err != nil {
			return 0, err
		}
	}
	return g.out.Write(p)
}
