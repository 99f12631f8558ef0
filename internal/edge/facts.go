package edge

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/rows"
	"damaskreach/internal/ticker"
)

const (
	// factsPrefix is the key prefix of the rows with what a fleet whose hosts were all killed must know. Usually there are none.
	factsPrefix = "facts/"
	// buildsKey is the key of the row with the groups that run or have just run several builds of their software.
	buildsKey = factsPrefix + "builds"
	// partPrefix is the key prefix of the rows with parts of prompts that are blocked, one row for each.
	partPrefix = factsPrefix + "part-"
	// factsInterval is the time between comparisons of these rows with what this host knows.
	factsInterval = time.Second
	// factsRecheck is the time after which rows are compared again without a change: the store may come back from an older copy.
	factsRecheck = 10 * time.Second
	// factsTimeout bounds a call to the store for these rows.
	factsTimeout = 2 * time.Second
	// maxFactEdits bounds the rows in one write; a transaction takes a hundred.
	maxFactEdits = 90
)

// facts tracks the rows under factsPrefix. It belongs to the goroutine of syncFacts.
type facts struct {
	synced   map[string]string // the rows as they were last compared, by key
	syncedAt time.Time
}

// partFact is the value of the row of a part that is blocked.
type partFact struct {
	Until int64 `json:"until"` // Unix time in ms
}

// syncFacts keeps the rows under factsPrefix up to date while this host reads the store for the others.
func (e *Edge) syncFacts(ctx context.Context) {
	e.restoreFacts(ctx)
	for range ticker.Every(ctx, factsInterval) {
		known, now := e.knownFacts(), time.Now()
		same := len(e.factEdits(known, e.facts.synced)) == 0
		if len(known)+len(e.facts.synced) == 0 || !e.isReader() || same && now.Sub(e.facts.syncedAt) < factsRecheck {
			continue
		}
		if err := e.writeFacts(ctx, known); err != nil {
			e.Log.Info("facts not written", zap.Error(err))
			continue
		}
		e.facts.synced, e.facts.syncedAt = known, now
	}
}

// restoreFacts reads the facts from before this host started. Until then, no build counts as the only one of its group.
func (e *Edge) restoreFacts(ctx context.Context) {
	for ctx.Err() == nil {
		stored, err := e.listFacts(ctx)
		if err != nil {
			e.Log.Info("facts from before the start not read", zap.Error(err))
			ticker.Sleep(ctx, e.retryDelay())
			continue
		}
		e.applyFacts(stored)
		e.facts.synced = stored
		e.factsRestored.Store(true)
		return
	}
}

func (e *Edge) applyFacts(stored map[string]string) {
	now, blocks := time.Now(), map[string]time.Time{}
	for key, value := range stored {
		var groups map[string][]string
		var fact partFact
		part, isPart := strings.CutPrefix(key, partPrefix)
		switch {
		case key == buildsKey && json.Unmarshal([]byte(value), &groups) == nil:
			e.builds.Restore(groups, now)
		case isPart && json.Unmarshal([]byte(value), &fact) == nil:
			blocks[part] = time.UnixMilli(fact.Until)
		default:
			e.Log.Warn("invalid fact", zap.String("key", key))
			continue
		}
		e.Log.Info("fact from before the start", zap.String("key", key), zap.String("value", value))
	}
	e.guard.RestoreParts(blocks)
}

// knownFacts returns the rows that there should be.
func (e *Edge) knownFacts() map[string]string {
	known := map[string]string{}
	if groups := e.builds.Several(); len(groups) > 0 {
		known[buildsKey] = encodeFact(groups)
	}
	for part, until := range e.guard.BlockedParts(time.Now()) {
		known[partPrefix+part] = encodeFact(partFact{Until: until.UnixMilli()})
	}
	return known
}

// encodeFact encodes plain data, which cannot fail.
func encodeFact(value any) string {
	data, _ := json.Marshal(value)
	return string(data)
}

// factEdits returns what makes stored rows those that there should be. Hosts block a part until different times, which are left alone.
func (e *Edge) factEdits(known, stored map[string]string) (edits []rows.Row) {
	for key, value := range known {
		if old, ok := stored[key]; !ok || old != value && key == buildsKey {
			edits = append(edits, rows.Row{Key: key, Value: []byte(value), Rev: rows.AnyRev})
		}
	}
	for key := range stored {
		if _, ok := known[key]; !ok {
			edits = append(edits, rows.Row{Key: key, Gone: true, Rev: rows.AnyRev})
		}
	}
	return edits[:min(len(edits), maxFactEdits)]
}

func (e *Edge) writeFacts(ctx context.Context, known map[string]string) error {
	stored, err := e.listFacts(ctx)
	if err != nil {
		return err
	}
	edits := e.factEdits(known, stored)
	if len(edits) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, factsTimeout)
	defer cancel()
	_, err = e.Table.Write(ctx, edits...)
	return err
}

// listFacts reads the rows under factsPrefix.
func (e *Edge) listFacts(ctx context.Context) (map[string]string, error) {
	ctx, cancel := context.WithTimeout(ctx, factsTimeout)
	defer cancel()
	list, _, err := e.Table.List(ctx, factsPrefix)
	stored := map[string]string{}
	for _, row := range list {
		stored[row.Key] = string(row.Value)
	}
	return stored, err
}
