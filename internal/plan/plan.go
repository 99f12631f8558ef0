// Package plan works out what applying a declaration would do to the table.
package plan

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"

	"damaskreach/internal/basis"
	"damaskreach/internal/decl"
	"damaskreach/internal/rows"
	"damaskreach/internal/stamp"
)

// Plan is the difference between a declaration and the table.
type Plan struct {
	Edits     []rows.Row          // edits to write, each against the revision the operator saw; values are canonical
	Conflicts map[string]string   // rows that the operator and someone else changed, with who and when
	Ahead     []string            // rows that others changed and the operator did not
	Agreed    []rows.Row          // rows that are already as declared, at revisions the basis does not have yet
	Foreign   int                 // rows that the declaration has never known
	current   map[string]rows.Row // the table's rows
}

// NewPlan compares a declaration, made from a basis, with a listing of the table.
// It returns an error for each row of the table that this release cannot read.
func NewPlan(d decl.Decl, b basis.Basis, listing []rows.Row) (Plan, []error) {
	p := Plan{Conflicts: map[string]string{}, current: make(map[string]rows.Row, len(listing))}
	var errs []error
	for _, row := range listing {
		p.current[row.Key] = row
	}
	declared := make(map[string]bool)
	for _, row := range d.Rows() {
		declared[row.Key] = true
		if err := p.row(b, row); err != nil {
			errs = append(errs, err)
		}
	}
	for _, key := range b.Keys() {
		if !declared[key] {
			p.removal(b, key)
		}
	}
	for _, row := range listing {
		if !declared[row.Key] && b.Of(row.Key) == 0 {
			p.Foreign++
		}
	}
	slices.SortFunc(p.Edits, order)
	return p, errs
}

// order puts rows after those they name and removals before, in reverse,
// so that a node which sees the batches one by one never meets a name without its row.
func order(a, b rows.Row) int {
	rank := func(r rows.Row) int {
		if r.Gone {
			return -decl.Order(r.Key)
		}
		return decl.Order(r.Key)
	}
	return cmp.Or(compareBool(b.Gone, a.Gone), cmp.Compare(rank(a), rank(b)), strings.Compare(a.Key, b.Key))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// row plans one declared row.
func (p *Plan) row(b basis.Basis, row rows.Row) error {
	now, exists := p.current[row.Key]
	if exists {
		canon, err := decl.Canon(row.Key, now.Value)
		if err != nil {
			return err
		}
		if bytes.Equal(canon, row.Value) {
			if now.Rev > b.Of(row.Key) {
				p.Agreed = append(p.Agreed, rows.Row{Key: row.Key, Value: canon, Rev: now.Rev})
			}
			return nil
		}
	}
	if b.Same(row.Key, row.Value) {
		if now.Rev != b.Of(row.Key) {
			p.Ahead = append(p.Ahead, row.Key)
		}
		return nil
	}
	if now.Rev != b.Of(row.Key) {
		p.Conflicts[row.Key] = Winner(now)
		return nil
	}
	row.Rev = now.Rev
	p.Edits = append(p.Edits, row)
	return nil
}

// removal plans a row that the operator took out of the declaration.
func (p *Plan) removal(b basis.Basis, key string) {
	now, exists := p.current[key]
	switch {
	case !exists:
		p.Agreed = append(p.Agreed, rows.Row{Key: key, Rev: b.Of(key), Gone: true})
	case now.Rev != b.Of(key):
		p.Conflicts[key] = Winner(now)
	default:
		p.Edits = append(p.Edits, rows.Row{Key: key, Rev: now.Rev, Gone: true})
	}
}

// Winner says in words whose edit a row holds; the zero row was removed.
func Winner(now rows.Row) string {
	if now.Rev == 0 || now.Gone {
		return "someone removed it"
	}
	by := stamp.Of(now.Value).By
	if by == "" {
		by = "someone"
	}
	return fmt.Sprintf("%s changed it at revision %d", by, now.Rev)
}

// Current returns the table's row of a key.
func (p Plan) Current(key string) (rows.Row, bool) {
	row, ok := p.current[key]
	return row, ok
}

// ConflictKeys returns the keys in conflict, sorted.
func (p Plan) ConflictKeys() []string {
	keys := make([]string, 0, len(p.Conflicts))
	for key := range p.Conflicts {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
