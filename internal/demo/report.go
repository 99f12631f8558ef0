package demo

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
)

const mostShown = 10 // breaches

// report prints the account of the run.
func (d *Demo) report(ctx context.Context, breaches, unexplained []string, took time.Duration) {
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
	d.examples(ctx)
	if whole < d.options.Requests {
		fmt.Fprintf(d.out, "  %d requests were not answered within %s\n", d.options.Requests-whole, limit)
	}
	for i, breach := range breaches {
		if i < mostShown {
			fmt.Fprintln(d.out, "  WRONG: "+breach)
		}
	}
	for i, text := range unexplained {
		if i < mostShown {
			fmt.Fprintln(d.out, "  UNEXPLAINED: "+text)
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
