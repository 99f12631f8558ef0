package slope

import (
	"fmt"
	"math"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"damaskreach/internal/digest"
)

func decoded(data []byte) []digest.Digest {
	var all []digest.Digest
	if err := msgpack.Unmarshal(data, &all); err != nil {
		panic(err) // it was encoded here
	}
	return all
}

// shapes are the nodes and engines of the sites that are run.
var shapes = [][2]int{{3, 6}, {6, 6}, {12, 6}, {24, 6}, {6, 24}, {12, 48}, {24, 24}}

const few = 4 // of shapes, the first ones, whose engines are as many

// sites are the uses of sites by their shapes.
type sites struct {
	uses                []use
	mesh, table, cpu    plane // by other nodes and by engines
	change              line  // by other nodes, with few engines
	reads, writes, each float64
	off                 float64 // largest relative distance of a measured from a computed mesh figure
}

func measureSites(b bubble) (sites, error) {
	var s sites
	var peers, engines, mesh, table, cpu []float64
	for _, shape := range shapes {
		u, err := measureSite(b, shape[0], shape[1])
		if err != nil {
			return sites{}, err
		}
		s.uses = append(s.uses, u)
		others := float64(shape[0] - 1)
		peers = append(peers, others)
		engines = append(engines, float64(shape[1])*others/float64(shape[0])) // those of other nodes come in, one's own go out
		mesh = append(mesh, u.mesh)
		table = append(table, u.table)
		cpu = append(cpu, u.cpu)
		s.reads = max(s.reads, u.reads)
		s.writes = max(s.writes, u.writes)
		s.each = u.request // of the last shape, in which most requests pass between nodes
	}
	s.change = fit(peers[:few], []float64{s.uses[0].change, s.uses[1].change, s.uses[2].change, s.uses[3].change})
	s.mesh, s.table, s.cpu = fitPlane(peers, engines, mesh), fitPlane(peers, engines, table), fitPlane(peers, engines, cpu)
	for i := range mesh {
		s.off = max(s.off, math.Abs(s.mesh.at(peers[i], engines[i])/mesh[i]-1))
	}
	return s, nil
}

func (s sites) text() string {
	var b strings.Builder
	b.WriteString("\nIdle sites in virtual time, per node and second; bytes between nodes count both directions, processor time includes the stand-ins' share:\n\n")
	b.WriteString("| nodes | engines | bytes between nodes | reads of the table | writes | bytes of the table | processor ms | bytes at each node for one changed row | bytes at all nodes for one request |\n|---|---|---|---|---|---|---|---|---|\n")
	for i, u := range s.uses {
		fmt.Fprintf(&b, "| %d | %d | %.0f | %.2f | %.2f | %.0f | %.2f | %.0f | %.0f |\n", shapes[i][0], shapes[i][1], u.mesh, u.reads, u.writes, u.table, u.cpu, u.change, u.request)
	}
	fmt.Fprintf(&b, "\nFitted: bytes between nodes = %.0f + %.1f for each other node + %.1f for each engine (within %.0f%% of each row); bytes of the table = %.0f + %.1f + %.1f; bytes for a changed row = %.0f + %.1f for each other node.\n",
		s.mesh.base, s.mesh.a, s.mesh.b, 100*s.off, s.table.base, s.table.a, s.table.b, s.change.base, s.change.slope)
	return b.String()
}

func (f figures) all() []figure {
	return []figure{f.adapter, f.runner, f.digest, f.owned, f.session, f.conn, f.cold, f.plan, f.home, f.choose, f.learn, f.encode, f.decide, f.change}
}

func (f figures) table() string {
	var b strings.Builder
	b.WriteString("| what | measured at sizes | slope | noise | computed |\n|---|---|---|---|---|\n")
	for _, one := range f.all() {
		b.WriteString(one.row())
	}
	fmt.Fprintf(&b, "\nA digest of a runner with %d resident adapters has %d bytes on the wire, a session row %d with its key.\n", slots, f.bytes, f.row)
	return b.String()
}

// budget of one node for control, as the users state it.
const (
	budgetCPU    = 49.0 // milliseconds a second: 4.9% of a core
	budgetMemory = 32.0 // MB
	budgetBytes  = 3.0  // KB a second
)

// part is one line of what a node uses.
type part struct {
	name   string
	amount float64
}

func list(title, unit string, budget float64, parts []part) string {
	var b strings.Builder
	sum := 0.0
	fmt.Fprintf(&b, "\n| %s | %s |\n|---|---|\n", title, unit)
	for _, p := range parts {
		sum += p.amount
		fmt.Fprintf(&b, "| %s | %.2f |\n", p.name, p.amount)
	}
	verdict := "within it"
	if sum > budget {
		verdict = fmt.Sprintf("**%.1f times over it**", sum/budget)
	}
	fmt.Fprintf(&b, "| sum; budget %.0f | %.2f, %s |\n", budget, sum, verdict)
	return b.String()
}

const mb = 1e6

// digestRate is how often a second the digest of a runner goes to every node: its counters once, and at once what is
// material beside them. A trial of six engines with 1.5 requests a second and 400 tokens each gave 1.36 in all.
const digestRate = 1.4

// compute returns what a node uses at the size to design for.
func (f figures) compute(s sites) string {
	memory := []part{
		{"configuration: 57,000 adapters", f.adapter.value() / mb},
		{"configuration: runners of the region", f.runner.value() / mb},
		{"home: digests of the region's runners", f.digest.value() / mb},
		{"owner: runners owned", f.owned.value() / mb},
		{"membership: sessions of the region", f.session.value() / mb},
		{"connections to every node of the region, both ways", f.conn.value() / mb},
		{"journal of decisions, at its bound", 4.19},
		{"metrics, at their bound (docs/METRICS.md)", 0.19},
	}
	cpu := []part{
		{"owner: who should own which runner", plansEach * f.plan.value() / 1000},
		{"home: decoding and learning digests", digestRate * f.learn.value() / 1000},
		{"owner: encoding digests for each other node", digestRate * siteNodes * f.encode.value() / 1000},
		{"entry: finding homes, twice a request", 2 * ownRequests * f.home.value() / 1000},
		{"home: choosing runners", ownRequests * f.choose.value() / 1000},
		{"owner: decisions", ownRequests * f.decide.value() / 24 / 1000},
		{"configuration: changes", changes / day * f.change.value() / 1000},
	}
	bytes := []part{
		{"digests, in and out", 2 * digestRate * siteRunners * float64(f.bytes) / 1000},
		{"keeping connections to every node, and what is sent to each every second beside digests", s.mesh.a * (siteNodes - 1) / 1000},
		{"from the table: sessions, each renewed every 5 s and read by each node", siteNodes / 5 * float64(f.row) / 1000},
		{"configuration changes, pushed between nodes", changes / day * s.change.at(siteNodes-1) / 1000},
		{"limits: what 12 adapters used, to the home of each twice a second, and the same as a home", 2 * 2 * 12 * float64(f.used) / 1000},
		{"from the table: configuration changes", changes / day * float64(len(adapterRow(1).Value)+80) / 1000},
	}
	var b strings.Builder
	fmt.Fprintf(&b, "\nComputed for one node of %.0f: %.0f nodes and %.0f runners in its region, %.1f runners owned, %.1f requests a second.\n", nodes, siteNodes, siteRunners, ownRunners, ownRequests)
	b.WriteString(list("memory", "MB", budgetMemory, memory))
	b.WriteString(list("processor time for control", "ms a second", budgetCPU, cpu))
	b.WriteString(list("bytes for control", "KB a second", budgetBytes, bytes))
	fmt.Fprintf(&b, "\nRequests beside that, their answers of 16 tokens included: %.0f KB a second (%.1f KB between nodes for each, counted at both ends).\n", ownRequests*2*s.each/1000, s.each/1000)
	fmt.Fprintf(&b, "\nOf the table service: %.0f reads and %.0f writes a second for a region, %.0f and %.0f for all nodes together.\n",
		s.reads*siteNodes, s.writes*siteNodes, s.reads*nodes, s.writes*nodes)
	fmt.Fprintf(&b, "\nThe bytes for control are over the budget from %.1f busy runners in a site on by digests alone, and from %.0f nodes on by keeping connections alone.\n",
		budgetBytes*1000/(2*digestRate*float64(f.bytes)), budgetBytes*1000/s.mesh.a)
	return b.String()
}
