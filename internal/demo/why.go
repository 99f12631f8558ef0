package demo

import (
	"context"
	"fmt"
	"net/url"

	"damaskreach/internal/event"
	"damaskreach/internal/reason"
	"damaskreach/internal/stand/site"
)

// askedNode is the node asked for explanations: any must do, and this one goes on to the end.
const askedNode = 1

// explain asks one node why each refused request was refused and why each unload that an engine carried out was ordered,
// prints how many it can tell and returns what it cannot. The requests and unloads are counted by callers and engines.
func (d *Demo) explain(ctx context.Context) []string {
	refused := d.judge.Refused()
	missing := d.unexplainedRefusals(ctx, refused)
	refusals := len(refused) - len(missing)
	unloads, known, lost := d.explainUnloads(ctx)
	fmt.Fprintf(d.out, "  explained: %d of %d refusals, %d of %d unloads\n", refusals, len(refused), known, unloads)
	return append(missing, lost...)
}

func (d *Demo) unexplainedRefusals(ctx context.Context, refused []string) []string {
	var missing []string
	for _, id := range refused {
		if !told(d.find(ctx, url.Values{"request": {id}})) {
			missing = append(missing, "nobody can tell why request "+id+" was refused")
		}
	}
	return missing
}

// told reports whether events hold what a caller was told.
func told(events []event.Event) bool {
	for _, e := range events {
		if e.Why.Verdict != "" {
			return true
		}
	}
	return false
}

func (d *Demo) explainUnloads(ctx context.Context) (carried, known int, missing []string) {
	for i, e := range d.site.Engines {
		ordered := map[string]int{}
		for _, e := range d.find(ctx, url.Values{"runner": {site.RunnerName(i)}, "kind": {reason.Unload}}) {
			ordered[e.Why.Model]++
		}
		for _, r := range e.Unloads() {
			carried++
			if ordered[r.Model] == 0 {
				missing = append(missing, "nobody can tell why "+site.RunnerName(i)+" unloaded "+r.Model)
				continue
			}
			ordered[r.Model]--
			known++
		}
	}
	return carried, known, missing
}

func (d *Demo) find(ctx context.Context, question url.Values) []event.Event {
	events, silent, err := d.site.Explain(ctx, askedNode, question)
	if err != nil || len(silent) > 0 {
		fmt.Fprintf(d.out, "  explain %s: error %v, no answer from %s\n", question.Encode(), err, silent)
	}
	return events
}

// examples shows why the slowest request took so long, and a few decisions.
func (d *Demo) examples(ctx context.Context) {
	for _, e := range d.find(ctx, url.Values{"request": {d.slow}}) {
		fmt.Fprintf(d.out, "  the slowest, %s, at %s, %s: %s\n", d.slow, e.At.Format("05.000"), e.Node, e.Why)
	}
	for _, kind := range []string{reason.Unload, reason.Taken} {
		if found := d.find(ctx, url.Values{"kind": {kind}, "most": {"1"}}); len(found) > 0 {
			fmt.Fprintf(d.out, "  for example %s: %s\n", found[0].Node, found[0].Why)
		}
	}
}
