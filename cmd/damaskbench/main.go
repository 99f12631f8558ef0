// Command damaskbench prints the figures of every policy on every trace.
package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"damaskreach/internal/bench"
	"damaskreach/internal/policy"
	"damaskreach/internal/quota"
	"damaskreach/internal/trace"
	"damaskreach/internal/tune"
)

type options struct {
	Seed  uint64        `long:"seed" default:"1" description:"seed of the traces"`
	Span  time.Duration `long:"span" default:"1h" description:"virtual time of each trace"`
	Stall float64       `long:"stall" default:"-1" description:"weight of load stalls, 0 to 1; the default measures each site with its own"`
	Only  string        `long:"only" description:"measure only this policy"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	for _, site := range trace.Sites() {
		table(site, o)
	}
	limits(o)
}

// table writes the table of one site.
func table(site string, o options) {
	tr := trace.New(site, o.Seed, o.Span)
	t := tune.Default()
	t.Stall = bench.Stall(site)
	if o.Stall >= 0 {
		t.Stall = o.Stall
	}
	fmt.Printf("%s, seed %d, stall weight %.2f, clairvoyant bound %d loads\n", site, o.Seed, t.Stall, bench.Belady(tr))
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "policy\tstall mean ms\tp95\tp99\tefficiency\tloads\tfalse\trefused\tothers\tcut\tfirst p95 ms\tgap p95 ms\tmissed\tof\twhole\t")
	for _, p := range policy.Variants() {
		if o.Only != "" && o.Only != p.Name {
			continue
		}
		r := bench.Run(tr, p, t, o.Seed)
		if r.Broken > 0 {
			fmt.Fprintf(w, "%s BROKE %d RULES\t\n", r.Policy, r.Broken)
		}
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%.4f\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%d\t%d\t%d/%d\t\n",
			r.Policy, r.StallMean, r.Stall95, r.Stall99, r.Efficiency, r.Loads, r.False, r.Refused, r.Others, r.Cut,
			r.First95, r.Gap95, r.Missed, r.Hurried, r.Whole, r.Asked)
	}
	w.Flush()
	fmt.Println()
}

// limits writes the comparison of the ways of charging against a limit.
func limits(o options) {
	fmt.Printf("limits on answer tokens, seed %d\n", o.Seed)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "way\tnodes\tdemand\tasked\trefused\tfalse\tovershoot\tserved\t")
	for _, q := range quota.Run(o.Seed) {
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%d\t%d\t%d\t%.1f%%\t%.1f%%\t\n",
			q.Way, q.Nodes, q.Demand, q.Asked, q.Refused, q.False, 100*q.Overshoot, 100*q.Served)
	}
	w.Flush()
}
