package procs_test

import (
	"context"
	"maps"
	"slices"
	"testing"

	"damaskreach/internal/assign"
	"damaskreach/internal/rows"
	"damaskreach/internal/stand/site"
	"damaskreach/internal/table"
)

// pair stands between nodes 0 and 1.
type pair struct {
	f    *fleet
	ways [2]*forwarder // to each of them
}

// newPair has nodes 0 and 1 reached by way of forwarders; it belongs before their start.
func newPair(f *fleet) *pair {
	p := &pair{f: f}
	f.peers = map[int]string{}
	for i := range p.ways {
		f.peers[i] = f.net + []string{"160", "161"}[i] + ":7000"
		p.ways[i] = newForwarder(f.t, f.peers[i], f.host(i)+":7000")
	}
	return p
}

// cut keeps the two from each other and waits until they feel it.
func (p *pair) cut() {
	p.f.t.Helper()
	p.ways[0].bar(p.f.host(1))
	p.ways[1].bar(p.f.host(0))
	p.f.await("both ways hold something back", func() bool { return p.ways[0].felt() && p.ways[1].felt() })
}

func (p *pair) heal() {
	p.ways[0].bar("")
	p.ways[1].bar("")
}

// rows returns what the table has under a prefix.
func (f *fleet) rows(prefix string) []rows.Row {
	f.t.Helper()
	all, _, err := f.table.List(context.Background(), prefix)
	if err != nil {
		f.t.Fatalf("reading the table: %v", err)
	}
	return all
}

// fences returns the fence of each runner, which grows with every change of its owner.
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

// outlast waits until every node has renewed its session so often that one which the others had left alone for a lease
// would have ended.
func (f *fleet) outlast() {
	f.t.Helper()
	const renewals = 6
	seen := map[string][]int64{}
	f.await("every session is renewed several times", func() bool {
		for _, row := range f.rows(table.PrefixNode) {
			if !slices.Contains(seen[row.Key], row.Rev) {
				seen[row.Key] = append(seen[row.Key], row.Rev)
			}
		}
		for _, revs := range seen {
			if len(revs) <= renewals {
				return false
			}
		}
		return len(seen) == nodes
	})
}

// answers demands that node i answers for some adapters at the first asking.
func (f *fleet) answers(i int) {
	f.t.Helper()
	for adapter := range 6 {
		if wrong := f.ask(i, adapter); wrong != "" {
			f.t.Errorf("got from node %d for adapter %d: %s, want a whole answer", i, adapter, wrong)
		}
	}
}

// Two hosts cannot reach each other, while both reach the third, the table and the upstreams. Callers of every node are
// served all the same, for an adapter too that was added meanwhile, and no runner loses its owner or gets a second one:
// a node that renews its session is not taken for dead by the one that cannot reach it.
func TestTwoNodesCutOffFromEachOther(t *testing.T) {
	f := newFleet(t)
	p := newPair(f)
	for i := range nodes {
		f.startNode(i)
	}
	f.await("every node owns one runner", f.shared)
	before := f.fences()

	p.cut()
	for i := range nodes {
		f.answers(i)
	}
	f.apply(100)
	f.await("all nodes answer for a new adapter", func() bool {
		return f.ask(0, 100) == "" && f.ask(1, 100) == "" && f.ask(2, 100) == ""
	})
	f.outlast()
	f.await("every node owns one runner during the cut", f.shared)
	for i := range nodes {
		f.answers(i)
	}

	p.heal()
	for i := range nodes {
		f.answers(i)
	}
	f.await("every node owns one runner after the cut", f.shared)
	if after := f.fences(); !maps.Equal(after, before) {
		t.Errorf("got fences %v after the cut, want %v as before it", after, before)
	}
}
