package plan

import (
	"damaskreach/internal/decl"
	"damaskreach/internal/rows"
)

// Dangling returns, for each row that the plan would leave naming a row that is not there, what is wrong.
// The declaration was checked by itself; here it meets rows that other operators made or removed meanwhile.
func (p Plan) Dangling() map[string]string {
	removed := make(map[string]bool)
	for _, e := range p.Edits {
		if e.Gone {
			removed[e.Key] = true
		}
	}
	after := p.after(removed)
	wrong := make(map[string]string)
	for _, e := range p.Edits {
		if !e.Gone {
			p.missing(wrong, after, e)
		}
	}
	if len(removed) == 0 {
		return wrong
	}
	for key, row := range p.current {
		if after[key] {
			p.missing(wrong, after, row)
		}
	}
	return wrong
}

// after returns which keys there will be.
func (p Plan) after(removed map[string]bool) map[string]bool {
	after := make(map[string]bool, len(p.current)+len(p.Edits))
	for key := range p.current {
		after[key] = !removed[key]
	}
	for _, e := range p.Edits {
		after[e.Key] = !e.Gone
	}
	return after
}

func (p Plan) missing(wrong map[string]string, after map[string]bool, row rows.Row) {
	named, err := decl.Refs(row.Key, row.Value)
	if err != nil {
		return // a row that cannot be read is reported by NewPlan
	}
	for _, key := range named {
		if !after[key] {
			wrong[row.Key] = "it names " + key + ", which would not be there"
		}
	}
}
