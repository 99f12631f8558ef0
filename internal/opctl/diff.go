package opctl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"damaskreach/internal/catlog"
	"damaskreach/internal/decl"
	"damaskreach/internal/rows"
)

const diffText = `diff shows each row that apply would add (+), change (~) or remove (-), field by field, with the runners that serve it, and the conflicts that would keep apply from writing.`

type diff struct {
	Args declaration `positional-args:"yes"`
}

func (c *diff) run(ctx context.Context, t *Tool) error {
	tab, _, err := t.connect()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, t.options.Within)
	defer cancel()
	w, err := t.prepare(ctx, tab, c.Args.Path)
	if err != nil {
		return err
	}
	served := servers(w.decl)
	for _, e := range w.plan.Edits {
		now, _ := w.plan.Current(e.Key)
		t.say("%s", line(e, now, served))
	}
	t.say("%s to write", count(len(w.plan.Edits), "row"))
	t.summary(w)
	return t.refuse(w)
}

// servers returns the names of the runners by group.
func servers(d decl.Decl) map[string][]string {
	served := make(map[string][]string)
	for _, row := range d.Rows() {
		kind, name := catlog.Split(row.Key)
		if kind != catlog.KindRunner {
			continue
		}
		cells, _ := decl.Cells(row.Key, row.Value) // the declaration was checked
		served[cells["group"]] = append(served[cells["group"]], name)
	}
	return served
}

// line describes one edit of a row that is now as given.
func line(e, now rows.Row, served map[string][]string) string {
	before, _ := decl.Cells(e.Key, now.Value)
	after, _ := decl.Cells(e.Key, e.Value)
	sign := "~"
	switch {
	case e.Gone:
		sign = "-"
	case e.Rev == 0:
		sign = "+"
	}
	text := sign + " " + short(e.Key) + fields(before, after)
	group := after["group"]
	if e.Gone {
		group = before["group"]
	}
	if kind, _ := catlog.Split(e.Key); kind == catlog.KindAdapter && served != nil {
		text += fmt.Sprintf(" (group %s: %s", group, count(len(served[group]), "runner"))
		if len(served[group]) > 0 {
			text += ", " + some(served[group])
		}
		text += ")"
	}
	return text
}

// fields lists the fields that differ.
func fields(before, after map[string]string) string {
	all := maps.Clone(before)
	if all == nil {
		all = make(map[string]string)
	}
	maps.Copy(all, after)
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(all)) {
		old, now := before[name], after[name]
		switch {
		case old == now || name == "name":
		case old == "":
			fmt.Fprintf(&out, " %s=%s", name, now)
		case now == "" && len(after) > 0:
			fmt.Fprintf(&out, " %s=%s->none", name, old)
		case len(after) > 0:
			fmt.Fprintf(&out, " %s=%s->%s", name, old, now)
		}
	}
	return out.String()
}
