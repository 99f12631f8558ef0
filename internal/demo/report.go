package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"damaskreach/internal/event"
	"damaskreach/internal/stand/site"
)

const (
	mostShown = 10 // breaches
	examples  = 2  // explanations
)

// report prints the account of the run.
func (d *Demo) report(ctx context.Context, breaches []string, took time.Duration) {
	whole, refused := d.judge.Count()
	executed := len(d.records())
	fmt.Fprintf(d.out, "%s, seed %d: %d nodes, %d engines, %d booking services, %d adapters, a store of %d loads a second, %.1f s\n",
		d.options.Site, d.options.Seed, nodes, engines, plains, adapters, loadRate, took.Seconds())
	for _, stage := range d.stages {
		fmt.Fprintln(d.out, "  "+stage)
	}
	fmt.Fprintf(d.out, "  %d of %d requests answered in full, by %d executions\n", whole, d.options.Requests, executed)
	fmt.Fprintf(d.out, "  tries that were refused or cut, by verdict: %s\n", list(refused))
	fmt.Fprintf(d.out, "  time to the whole answer: %s\n", quantiles(d.took))
	d.explain(ctx)
	if whole < d.options.Requests {
		fmt.Fprintf(d.out, "  %d requests were not answered within %s\n", d.options.Requests-whole, limit)
	}
	for i, breach := range breaches {
		if i < mostShown {
			fmt.Fprintln(d.out, "  WRONG: "+breach)
		}
	}
	fmt.Fprintf(d.out, "  wrong, lost or doubled: %d\n", len(breaches))
}

func list(counts map[string]int) string {
	if len(counts) == 0 {
		return "none"
	}
	var parts []string
	for verdict, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", verdict, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

func quantiles(took []time.Duration) string {
	if len(took) == 0 {
		return "none"
	}
	sorted := slices.Sorted(slices.Values(took))
	at := func(share float64) time.Duration {
		return sorted[int(share*float64(len(sorted)-1))].Round(time.Millisecond)
	}
	return fmt.Sprintf("median %s, 95 in 100 within %s, slowest %s", at(0.5), at(0.95), at(1))
}

// explain counts loads, unloads and refusals from the nodes' journals and shows two decisions.
func (d *Demo) explain(ctx context.Context) {
	kinds := map[string]int{}
	shown := map[string]string{}
	var slow []event.Event
	for i := range nodes {
		for _, e := range d.journal(ctx, i) {
			kinds[e.Why.Kind]++
			shown[e.Why.Kind] = e.Node + ": " + e.Why.String()
			if e.Request == d.slow {
				slow = append(slow, e)
			}
		}
	}
	fmt.Fprintf(d.out, "  decisions in the journals: %s\n", list(kinds))
	slices.SortFunc(slow, func(a, b event.Event) int { return a.At.Compare(b.At) })
	for _, e := range slow {
		fmt.Fprintf(d.out, "  the slowest, %s, at %s, %s: %s\n", d.slow, e.At.Format("05.000"), e.Node, e.Why)
	}
	count := 0
	for _, kind := range []string{"unload", "load", "near", "resident"} {
		if shown[kind] != "" && count < examples {
			fmt.Fprintln(d.out, "  for example "+shown[kind])
			count++
		}
	}
}

func (d *Demo) journal(ctx context.Context, i int) []event.Event {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+site.Host(i)+":9000/explain", nil)
	if err != nil {
		return nil
	}
	res, err := d.site.Caller().Do(req)
	if err != nil {
		return nil // the node was drained
	}
	defer func() { _ = res.Body.Close() }()
	var events []event.Event
	if json.NewDecoder(res.Body).Decode(&events) != nil {
		return nil
	}
	return events
}
