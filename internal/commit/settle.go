package commit

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/rows"
	"damaskreach/internal/stamp"
	"damaskreach/internal/table"
	"damaskreach/internal/ticker"
)

// settle decides on a batch that met a conflict. It returns the outcomes that are certain and the edits to try again.
//
// If the answer to an earlier try was lost, the conflict may be with that very try.
// Were it taken for another operator's edit, an accepted edit would be reported as refused.
// The rows are read back: one that carries this edit's id proves that the whole batch was written.
func (w writer) settle(ctx context.Context, edits []rows.Row, keys []string, lost bool) ([]Outcome, []rows.Row) {
	clash, rest := parted(edits, keys)
	if len(clash) == 0 {
		return all(edits, Outcome{State: Failed, Err: merry.New("the table reported a conflict without naming a row of the batch")}), nil
	}
	found := make(map[string]rows.Row, len(clash))
	for _, e := range clash {
		now, err := w.newer(ctx, e)
		if err != nil {
			return all(edits, failure(lost, err)), nil
		}
		found[e.Key] = now
	}
	if lost && len(rest) == 0 {
		if outcomes := w.own(edits, found); outcomes != nil {
			return outcomes, nil
		}
	}
	outcomes := make([]Outcome, len(clash))
	for i, e := range clash {
		outcomes[i] = Outcome{Edit: e, State: Lost, Now: found[e.Key]}
		if e.Gone && found[e.Key].Rev == 0 {
			outcomes[i].State = Applied // it is gone, whoever removed it
			outcomes[i].Rev = e.Rev
		}
	}
	return outcomes, rest
}

// own returns the outcomes of a batch whose first try took effect, or nil if another's edits came first.
// All rows of the batch are in conflict then, since all got a new revision.
func (w writer) own(edits []rows.Row, found map[string]rows.Row) []Outcome {
	rev := int64(0)
	replaced := false
	for _, row := range found {
		mark := stamp.Of(row.Value)
		if mark.Edit == w.edit {
			rev = row.Rev
		}
		replaced = replaced || mark.After == w.edit
	}
	switch {
	case rev > 0:
		return all(edits, Outcome{State: Applied, Rev: rev})
	case replaced:
		return all(edits, Outcome{State: Applied}) // and replaced since by an edit that names this one as its predecessor
	default:
		return w.doubtful(edits, found)
	}
}

// doubtful returns nil where each row was changed by an edit that began from the revision this one began from,
// which rules this one out. Where several edits followed, the first of them may have been this one.
func (w writer) doubtful(edits []rows.Row, found map[string]rows.Row) []Outcome {
	for _, e := range edits {
		if mark := stamp.Of(found[e.Key].Value); mark.Over == e.Rev && mark.Edit != "" {
			return nil
		}
	}
	if slices.ContainsFunc(edits, func(e rows.Row) bool { return !e.Gone || found[e.Key].Rev != 0 }) {
		return all(edits, Outcome{State: Unknown, Err: merry.New("the answer was lost and other edits followed since")})
	}
	return nil
}

// maxLag is how long a replica is given to show what the table decided on.
const maxLag = 10 * time.Second

// newer reads a row until it shows another revision than the edit began from:
// the table said that there is one, but the replica that is read may lag. The zero row was removed.
func (w writer) newer(ctx context.Context, e rows.Row) (rows.Row, error) {
	for end := time.Now().Add(maxLag); ; {
		now, ok, err := w.read(ctx, e)
		if ok {
			return now, nil
		}
		if err == nil && e.Rev == 0 && time.Now().After(end) {
			return rows.Row{Key: e.Key}, nil // made and removed by others
		}
		if !ticker.Sleep(ctx, firstPause) {
			return rows.Row{}, errors.Join(err, ctx.Err())
		}
	}
}

// read returns the row as changed after the revision of an edit, and whether such a change shows yet.
// A deletion is known from the tail only: a plain reading that finds no row may come from a replica that lags.
func (w writer) read(ctx context.Context, e rows.Row) (rows.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	if e.Rev == 0 {
		now, err := w.table.Read(ctx, e.Key)
		if errors.Is(err, table.ErrAbsent) {
			return rows.Row{}, false, nil
		}
		return now, err == nil, err
	}
	changed, _, err := w.table.Tail(ctx, e.Key, e.Rev)
	compacted := errors.Is(err, table.ErrCompacted)
	if err != nil && !compacted {
		return rows.Row{}, false, err
	}
	for _, row := range changed {
		if row.Key != e.Key || row.Rev <= e.Rev {
			continue
		}
		if row.Gone {
			row = rows.Row{Key: e.Key}
		}
		return row, true, nil
	}
	return rows.Row{Key: e.Key}, compacted, nil
}

func parted(edits []rows.Row, keys []string) (clash, rest []rows.Row) {
	for _, e := range edits {
		if slices.Contains(keys, e.Key) {
			clash = append(clash, e)
			continue
		}
		rest = append(rest, e)
	}
	return clash, rest
}
