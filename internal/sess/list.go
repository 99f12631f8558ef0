package sess

import (
	"context"
	"slices"
	"strings"

	"damaskreach/internal/table"
)

// List returns the sessions of a site that have not ended, or of all sites where site is empty, sorted by id.
func List(ctx context.Context, t table.Table, site string) ([]Session, error) {
	prefix := table.PrefixNode
	if site != "" {
		prefix = Prefix(site)
	}
	found, _, err := t.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	var all []Session
	for _, row := range found {
		s, err := Decode(row.Value)
		if err != nil {
			return nil, err
		}
		if s.State != Ended {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b Session) int { return strings.Compare(a.ID(), b.ID()) })
	return all, nil
}
