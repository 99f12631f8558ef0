package opctl

import (
	"context"
	"errors"

	"damaskreach/internal/commit"
	"damaskreach/internal/plan"
	"damaskreach/internal/rows"
	"damaskreach/internal/table"
)

const applyText = `apply checks a declaration whole before it writes anything. Each row is written against the revision that 'get' or an earlier 'apply' noted in the .revisions file, so that an edit of someone else is never overwritten. Rows that were changed by others in the meantime are reported one by one. Then it waits until the change is in force on every node and names those that lag.`

// Removals that apply makes without being told that they are meant: so many, or this share of the rows known.
const (
	fewRemovals   = 20
	removalsShare = 0.1
)

type apply struct {
	RemoveMany bool        `long:"remove-many" description:"remove rows even if they are more than 20 and more than a tenth of all"`
	Args       declaration `positional-args:"yes"`
}

func (c *apply) run(ctx context.Context, t *Tool) error {
	tab, site, err := t.connect()
	if err != nil {
		return err
	}
	writing, cancel := context.WithTimeout(ctx, t.options.Within)
	defer cancel()
	w, err := t.prepare(writing, tab, c.Args.Path)
	if err != nil {
		return err
	}
	t.summary(w)
	if err := errors.Join(t.refuse(w), c.guard(t, w)); err != nil {
		t.warn("nothing was written")
		return err
	}
	edits, outcomes := t.write(writing, tab, w)
	after := w.basis.With(w.plan.Agreed).With(applied(edits, outcomes)).WithRev(w.rev)
	if err := after.Save(c.Args.Path); err != nil {
		t.warn("%v; run 'get' before the next apply", err)
	}
	verdict := t.report(outcomes)
	if err := t.inForce(ctx, tab, site, outcomes); err != nil && verdict == nil {
		return err
	}
	return verdict
}

// guard refuses to remove a large part of the table. A file that is missing or empty, after a broken checkout
// or a spreadsheet saved with one sheet, reads like the removal of all its rows; callers of every adapter in it
// would be refused within seconds.
func (c *apply) guard(t *Tool, w work) error {
	removals := 0
	for _, e := range w.plan.Edits {
		if e.Gone {
			removals++
		}
	}
	known := len(w.basis.Keys())
	if c.RemoveMany || removals <= fewRemovals || float64(removals) <= removalsShare*float64(known) {
		return nil
	}
	t.warn("%s of %d would be removed; give --remove-many if that is meant", count(removals, "row"), known)
	return coded(ExitFault)
}

// write stamps and writes the edits of a plan; it returns them with their canonical values.
func (t *Tool) write(ctx context.Context, tab table.Table, w work) ([]rows.Row, []commit.Outcome) {
	id := t.Edit()
	stamped := make([]rows.Row, len(w.plan.Edits))
	for i, e := range w.plan.Edits {
		now, _ := w.plan.Current(e.Key)
		stamped[i] = t.stamp(e, now, id)
	}
	return w.plan.Edits, commit.Write(ctx, tab, id, stamped)
}

// applied returns the rows as the table has them now, with canonical values.
func applied(edits []rows.Row, outcomes []commit.Outcome) []rows.Row {
	canon := make(map[string]rows.Row, len(edits))
	for _, e := range edits {
		canon[e.Key] = e
	}
	var done []rows.Row
	for _, o := range outcomes {
		if o.State != commit.Applied || o.Rev == 0 {
			continue // an edit that was replaced since stays a conflict until it is got anew
		}
		row := canon[o.Edit.Key]
		row.Rev = o.Rev
		done = append(done, row)
	}
	return done
}

// report says what became of the edits: counts first, then each one that was not applied.
func (t *Tool) report(outcomes []commit.Outcome) error {
	done := 0
	for _, o := range outcomes {
		switch o.State {
		case commit.Applied:
			done++
		case commit.Lost:
			t.warn("%s: not applied: %s before you", short(o.Edit.Key), plan.Winner(o.Now))
		case commit.Unknown:
			t.warn("%s: unknown, it may be applied still: %v", short(o.Edit.Key), o.Err)
		case commit.Failed:
			t.warn("%s: not applied: %v", short(o.Edit.Key), o.Err)
		default:
			t.warn("%s: not applied: %s", short(o.Edit.Key), o.State)
		}
	}
	t.say("applied %d of %s", done, count(len(outcomes), "row"))
	if done < len(outcomes) {
		return coded(ExitFault)
	}
	return nil
}
