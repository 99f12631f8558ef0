package opctl

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/basis"
	"damaskreach/internal/decl"
	"damaskreach/internal/plan"
	"damaskreach/internal/rows"
	"damaskreach/internal/table"
	"damaskreach/internal/ticker"
)

const retryPause = 500 * time.Millisecond

// list reads the whole configuration, at a revision that is not below floor.
// A lagging replica would show rows as they were before this operator's own last edits,
// and they would look like other operators' edits.
func (t *Tool) list(ctx context.Context, tab table.Table, floor int64) ([]rows.Row, int64, error) {
	for {
		listing, rev, err := tab.List(ctx, table.PrefixConf)
		if err == nil && rev >= floor {
			return listing, rev, nil
		}
		if err == nil {
			err = merry.Errorf("the replica read is at revision %d, and %d was seen already", rev, floor)
		}
		if !ticker.Sleep(ctx, retryPause) {
			return nil, 0, merry.Prepend(err, "reading the configuration")
		}
	}
}

// work is what diff and apply begin with.
type work struct {
	decl  decl.Decl
	basis basis.Basis
	plan  plan.Plan
	rev   int64 // of the listing
}

// prepare reads a declaration and compares it with the table.
func (t *Tool) prepare(ctx context.Context, tab table.Table, path string) (work, error) {
	d, err := t.read(path)
	if err != nil {
		return work{}, err
	}
	b, err := basis.Load(path)
	if err != nil {
		return work{}, err
	}
	listing, rev, err := t.list(ctx, tab, b.Rev())
	if err != nil {
		return work{}, err
	}
	p, errs := plan.NewPlan(d, b, listing)
	if err := errors.Join(errs...); err != nil {
		return work{}, err
	}
	return work{decl: d, basis: b, plan: p, rev: rev}, nil
}

// refuse reports what keeps a plan from being applied.
func (t *Tool) refuse(w work) error {
	for _, key := range w.plan.ConflictKeys() {
		t.warn("%s: conflict: you changed it, and %s", t.where(w, key), w.plan.Conflicts[key])
	}
	wrong := w.plan.Dangling()
	names := make([]string, 0, len(wrong))
	for key := range wrong {
		names = append(names, key)
	}
	slices.Sort(names)
	for _, key := range names {
		t.warn("%s: %s", t.where(w, key), wrong[key])
	}
	if faults := len(w.plan.Conflicts) + len(wrong); faults > 0 {
		t.warn("%s; 'get DIR ROW' takes a row of the table over into the files", count(faults, "conflict"))
		return coded(ExitFault)
	}
	return nil
}

// where names a row and the place that declares it.
func (t *Tool) where(w work, key string) string {
	file, line := w.decl.Place(key)
	if file == "" {
		return short(key)
	}
	return fmt.Sprintf("%s:%d: %s", file, line, short(key))
}

func (t *Tool) summary(w work) {
	if ahead := len(w.plan.Ahead); ahead > 0 {
		names := make([]string, ahead)
		for i, key := range w.plan.Ahead {
			names[i] = short(key)
		}
		t.say("%s changed by others and not by you, left as in the table: %s", count(ahead, "row"), some(names))
	}
	if w.plan.Foreign > 0 {
		t.say("%s in the table that your files never had, left alone", count(w.plan.Foreign, "row"))
	}
}
