package node

import (
	"runtime/metrics"

	"damaskreach/internal/digest"
)

// buildGauges sets the values that are read at each scrape.
func (n *Node) buildGauges() {
	n.meter.Gauge("revision_seen", "highest configuration revision seen", func() float64 { return float64(n.follow.Catalog().Rev()) })
	n.meter.Gauge("revision_complete", "every configuration change up to it is in force", func() float64 { return float64(n.follow.Catalog().Complete()) })
	n.meter.Gauge("nodes_live", "live nodes of the site", func() float64 { return float64(len(n.nodes())) })
	n.meter.Gauge("runners_owned", "runners that this node owns", func() float64 { return float64(len(n.Runners())) })
	n.meter.Gauge("requests_running", "requests in progress on runners of this node", n.sum(func(d digest.Digest) int { return d.Running }))
	n.meter.Gauge("requests_waiting", "requests queued at this node for its runners", n.sum(func(d digest.Digest) int { return d.Waiting }))
	n.meter.Gauge("decisions_dropped", "unloads and changes of ownership that no table has kept", func() float64 { return float64(n.ledger.Dropped()) })
	n.meter.Gauge("memory_bytes", "memory held by the process", memory)
}

func (n *Node) sum(count func(d digest.Digest) int) func() float64 {
	return func() float64 {
		total := 0
		for _, d := range n.Runners() {
			total += count(d)
		}
		return float64(total)
	}
}

const memoryTotal = "/memory/classes/total:bytes"

func memory() float64 {
	sample := []metrics.Sample{{Name: memoryTotal}}
	metrics.Read(sample)
	return float64(sample[0].Value.Uint64())
}
