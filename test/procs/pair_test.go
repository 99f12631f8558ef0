package procs_test

import (
	"context"
	"fmt"
	"maps"
	"testing"

	"damaskreach/internal/assign"
	"damaskreach/internal/rows"
	"damaskreach/internal/stand/site"
	"damaskreach/internal/table"
)

// ways are the forwarders to the nodes, with which two nodes can be cut off from each other.
type ways struct {
	f  *fleet
	to [nodes]*forwarder
}

// newWays makes all nodes reachable through forwarders only. It must be called before they start.
func newWays(f *fleet) *ways {
	w := &ways{f: f}
	f.peers = map[int]string{}
	for i := range w.to {
		f.peers[i] = fmt.Sprintf("%s%d:7000", f.net, 160+i)
		w.to[i] = newForwarder(f.t, f.peers[i], f.host(i)+":7000")
	}
	return w
}

// cut cuts two nodes off from each other and waits until bytes between them were dropped.
func (w *ways) cut(a, b int) {
	w.f.t.Helper()
	w.to[a].bar(w.f.host(b))
	w.to[b].bar(w.f.host(a))
	w.f.await("both ways hold something back", func() bool { return w.to[a].feels() && w.to[b].feels() })
}

func (w *ways) heal() {
	for _, f := range w.to {
		f.bar("")
	}
}

// rows returns the rows of the table with a key prefix.
func (f *fleet) rows(prefix string) []rows.Row {
	f.t.Helper()
	all, _, err := f.table.List(context.Background(), prefix)
	if err != nil {
		f.t.Fatalf("reading the table: %v", err)
	}
	return all
}

// fences returns the fencing token of each runner, which grows with every change of its owner.
func (f *fleet) fences() map[string]int64 {
	f.t.Helper()
	found := map[string]int64{}
	for _, row := range f.rows(assign.Prefix(site.Name)) {
		a, err := assign.Decode(row.Value)
		if err != nil {
			f.t.Fatalf("reading %s: %v", row.Key, err)
		}
		found[a.Runner] = a.Fence
	}
	return found
}

// rev returns the table's revision, which grows with every renewal of a session.
func (f *fleet) rev() int64 {
	_, rev, _ := f.table.List(context.Background(), table.PrefixNode)
	return rev
}

// answers checks that every node answers requests for some adapters at the first attempt.
func (f *fleet) answers() {
	f.t.Helper()
	for n := range nodes * 6 {
		if wrong := f.ask(n%nodes, n/nodes); wrong != "" {
			f.t.Errorf("got from node %d for adapter %d: %s, want a whole answer", n%nodes, n/nodes, wrong)
		}
	}
}

// Two nodes cannot reach each other, while both reach the third, the table service and the upstreams. Callers of every node must still be served, also on
// an adapter that was added meanwhile, and no runner may lose its owner or get a second one: a node that renews its session must not count as dead at
// the node that cannot reach it.
func TestTwoNodesCutOffFromEachOther(t *testing.T) {
	f := newFleet(t)
	w := newWays(f)
	for i := range nodes {
		f.startNode(i)
	}
	f.await("every node owns one runner", f.shared)
	before := f.fences()

	w.cut(0, 1)
	f.answers()
	f.apply(100)
	f.await("all nodes answer for a new adapter", func() bool { return f.ask(0, 100)+f.ask(1, 100)+f.ask(2, 100) == "" })
	first := f.rev()
	f.await("sessions, renewed three times a lease, are renewed for some leases", func() bool { return f.rev() >= first+8*nodes })
	f.await("every node owns one runner during the cut", f.shared)
	f.answers()

	w.heal()
	f.answers()
	f.await("every node owns one runner after the cut", f.shared)
	if after := f.fences(); !maps.Equal(after, before) {
		t.Errorf("got fences %v after the cut, want %v as before it", after, before)
	}
}
