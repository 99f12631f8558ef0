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
	// memoPrefix is the key prefix of the rows that record the use of engines' adapters, one row for each engine.
	memoPrefix = "memo/"
	// memoInterval is the time between writes of these rows, which go along with a lease renewal: some 1 KB an engine. Use in the last seconds
	// before a host ended is lost.
	memoInterval = 4 * time.Second
	// maxMemoEdits bounds the rows in one write; a transaction takes a hundred.
	maxMemoEdits = 90
)

// memoWriter tracks which of those rows this host wrote. It belongs to the goroutine that renews the lease.
type memoWriter struct {
	writtenAt time.Time
	written   map[string]bool // by engine
}

// memoEdits returns the rows to write along with a renewal, and those to delete because their engines are gone. If the renewal fails, a
// row to delete stays behind, some 1 KB; a row to write is written again.
func (e *Edge) memoEdits() []rows.Row {
	now := time.Now()
	if now.Sub(e.memoWriter.writtenAt) < memoInterval {
		return nil
	}
	e.memoWriter.writtenAt = now
	if e.memoWriter.written == nil {
		e.memoWriter.written = map[string]bool{}
	}
	var edits []rows.Row
	for id, m := range e.loader.Memos() {
		if len(edits) < maxMemoEdits {
			edits = append(edits, rows.Row{Key: memoPrefix + id, Value: m.Encode(), Rev: rows.AnyRev})
			e.memoWriter.written[id] = true
		}
	}
	targets := e.intake.View().Targets
	for id := range e.memoWriter.written {
		if _, ok := targets[id]; !ok && len(edits) < maxMemoEdits {
			edits = append(edits, rows.Row{Key: memoPrefix + id, Gone: true, Rev: rows.AnyRev})
			delete(e.memoWriter.written, id)
		}
	}
	return edits
}

// readMemo reads the recorded adapter use of an engine.
func (e *Edge) readMemo(ctx context.Context, id string) (memo.Memo, bool) {
	row, err := e.Table.Read(ctx, memoPrefix+id)
	if errors.Is(err, table.ErrAbsent) {
		return memo.Memo{}, false
	}
	if err != nil {
		e.Log.Info("failed to read recorded adapter use", zap.String("target", id), zap.Error(err))
		return memo.Memo{}, false
	}
	m, err := memo.Decode(row.Value)
	if err != nil {
		e.Log.Warn("failed to decode recorded adapter use", zap.String("target", id), zap.Error(err))
		return memo.Memo{}, false
	}
	return m, true
}
