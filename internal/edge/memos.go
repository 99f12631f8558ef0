package edge

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/memo"
	"damaskreach/internal/rows"
	"damaskreach/internal/table"
)

const (
	// memoPrefix is the prefix of the rows that hold what hosts know of the use of engines' adapters, by engine.
	memoPrefix = "memo/"
	// memoEvery is how often they are written, along with a renewal: some 1 KB an engine. What was used in the last seconds before a
	// host ended is missing then.
	memoEvery = 4 * time.Second
	// mostMemos bounds how many are written at once; a transaction takes a hundred rows.
	mostMemos = 90
)

// keeper remembers which of those rows this host has written. It belongs to the goroutine that renews.
type keeper struct {
	at      time.Time
	written map[string]bool // engines
}

// memos returns the rows to write along with a renewal, and those to delete since their engines are gone. Where that renewal fails,
// a deleted row stays behind, some 1 KB; one that was written is written again.
func (e *Edge) memos() []rows.Row {
	now := time.Now()
	if now.Sub(e.keeper.at) < memoEvery {
		return nil
	}
	e.keeper.at = now
	if e.keeper.written == nil {
		e.keeper.written = map[string]bool{}
	}
	var edits []rows.Row
	for id, m := range e.giver.Memos() {
		if len(edits) < mostMemos {
			edits = append(edits, rows.Row{Key: memoPrefix + id, Value: m.Encode(), Rev: rows.Any})
			e.keeper.written[id] = true
		}
	}
	targets := e.intake.View().Targets
	for id := range e.keeper.written {
		if _, ok := targets[id]; !ok && len(edits) < mostMemos {
			edits = append(edits, rows.Row{Key: memoPrefix + id, Gone: true, Rev: rows.Any})
			delete(e.keeper.written, id)
		}
	}
	return edits
}

// recall reads what was kept of an engine.
func (e *Edge) recall(ctx context.Context, id string) (memo.Memo, bool) {
	row, err := e.Table.Read(ctx, memoPrefix+id)
	if errors.Is(err, table.ErrAbsent) {
		return memo.Memo{}, false
	}
	if err != nil {
		e.Log.Info("use of adapters not recalled", zap.String("target", id), zap.Error(err))
		return memo.Memo{}, false
	}
	m, err := memo.Decode(row.Value)
	if err != nil {
		e.Log.Warn("use of adapters cannot be read", zap.String("target", id), zap.Error(err))
		return memo.Memo{}, false
	}
	return m, true
}
