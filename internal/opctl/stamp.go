package opctl

import (
	"context"
	"encoding/json"
	"maps"

	"damaskreach/internal/adapt"
	"damaskreach/internal/catlog"
	"damaskreach/internal/commit"
	"damaskreach/internal/force"
	"damaskreach/internal/rows"
	"damaskreach/internal/stamp"
	"damaskreach/internal/table"
)

// stamp marks an edit with its author and id, and an adapter with the shares to which rollback returns.
func (t *Tool) stamp(e, now rows.Row, id string) rows.Row {
	if e.Gone {
		return e
	}
	old := stamp.Of(now.Value)
	s := stamp.Stamp{By: t.options.By, Edit: id, Over: e.Rev, After: old.Edit}
	if kind, _ := catlog.Split(e.Key); kind == catlog.KindAdapter {
		s.Before = old.Before
		if was := shares(now.Value); len(was) > 0 && !maps.Equal(was, shares(e.Value)) {
			s.Before = was
		}
	}
	return e.WithValue(s.Add(e.Value))
}

func shares(value []byte) map[string]int {
	var row adapt.Adapter
	if json.Unmarshal(value, &row) != nil {
		return nil
	}
	return row.Versions
}

// inForce waits until what was applied is in force on every node.
func (t *Tool) inForce(ctx context.Context, tab table.Table, site string, outcomes []commit.Outcome) error {
	rev := int64(0)
	var keys []string
	for _, o := range outcomes {
		if o.State == commit.Applied {
			rev = max(rev, o.Rev)
			keys = append(keys, o.Edit.Key)
		}
	}
	if rev == 0 || t.options.Wait <= 0 {
		return nil
	}
	token, err := t.token()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, t.options.Wait)
	defer cancel()
	nodes, lags, rejected, err := force.NewForce(tab, site, token, t.Dial).Wait(ctx, rev, keys)
	if err != nil {
		t.warn("written, but it is not known where it is in force: %v", err)
		return coded(ExitLag)
	}
	t.say("revision %d in force on %d of %s", rev, nodes-len(lags), count(nodes, "node"))
	for _, text := range rejected {
		t.warn("rejected by nodes, which keep the last good row: %s", text)
	}
	for _, text := range lags {
		t.warn("lags: node %s", text)
	}
	if len(lags)+len(rejected) > 0 {
		return coded(ExitLag)
	}
	return nil
}
