package edge

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/block"
	"damaskreach/internal/facts"
	"damaskreach/internal/rows"
)

const (
	// factsPrefix is the key prefix of the rows with what a fleet whose hosts were all killed must know.
	factsPrefix = "facts/"
	// buildsKey is the key of the row with the builds of their software that the groups run or have just run. It is written as soon as hosts have started for
	// the first time, also for groups of one build: a change of builds that nobody could write down shows in that the row and the registrations differ.
	buildsKey = factsPrefix + "builds"
	// partPrefix and requestPrefix are the key prefixes of the rows with parts of prompts and with requests that are blocked, one row for each.
	partPrefix    = factsPrefix + "part-"
	requestPrefix = factsPrefix + "request-"
	// versionPrefix is the key prefix of the rows with the versions of adapters in force where the operators' rows in the store say an older one.
	versionPrefix = factsPrefix + "version-"
	// factsRev stands for the revision of facts that one host tells another: they have none of their own.
	factsRev = 1
)

// blockFact is the value of the row of a part or a request that is blocked.
type blockFact struct {
	Until int64 `json:"until"`           // Unix time in ms
	Times int   `json:"times,omitempty"` // how often it has been blocked in succession
}

// versionFact is the value of the row of an adapter's version.
type versionFact struct {
	Version int `json:"version"`
}

// buildFacts creates what keeps the rows under factsPrefix.
func (e *Edge) buildFacts() *facts.Facts {
	return &facts.Facts{
		Table: e.Table, Prefix: factsPrefix, IsWriter: e.isReader, Known: e.knownFacts, Learn: e.learnFacts, RetryDelay: e.retryDelay, Log: e.Log,
		FromPeers: func(ctx context.Context) ([]rows.Row, bool) {
			list, _, ok := e.rowsFromPeers(ctx, factsPrefix)
			return list, ok
		},
	}
}

func (e *Edge) learnFacts(stored map[string]string) {
	now := time.Now()
	requests, parts := map[string]block.Block{}, map[string]block.Block{}
	for key, value := range stored {
		var groups map[string][]string
		var fact blockFact
		var named versionFact
		adapter, isVersion := strings.CutPrefix(key, versionPrefix)
		part, isPart := strings.CutPrefix(key, partPrefix)
		request, isRequest := strings.CutPrefix(key, requestPrefix)
		switch {
		case key == buildsKey && json.Unmarshal([]byte(value), &groups) == nil:
			e.builds.Restore(groups, now)
		case isPart && json.Unmarshal([]byte(value), &fact) == nil:
			parts[part] = fact.block()
		case isRequest && json.Unmarshal([]byte(value), &fact) == nil:
			requests[request] = fact.block()
		case isVersion && json.Unmarshal([]byte(value), &named) == nil:
			e.intake.LearnVersion(adapter, named.Version)
		default:
			e.Log.Warn("invalid fact", zap.String("key", key))
			continue
		}
		e.Log.Info("fact learned", zap.String("key", key), zap.String("value", value))
	}
	e.guard.Restore(requests, parts, now)
}

func (f blockFact) block() block.Block {
	return block.Block{Until: time.UnixMilli(f.Until), Times: max(1, f.Times)}
}

// knownFacts returns the rows that there should be.
func (e *Edge) knownFacts() map[string]string {
	known := map[string]string{}
	if groups := e.builds.All(); len(groups) > 0 {
		known[buildsKey] = encodeFact(groups)
	}
	requests, parts := e.guard.Blocks(time.Now())
	addBlocks(known, partPrefix, parts)
	addBlocks(known, requestPrefix, requests)
	for adapter, version := range e.intake.Overtaken() {
		known[versionPrefix+adapter] = encodeFact(versionFact{version})
	}
	return known
}

// addBlocks adds the rows of blocks.
func addBlocks(known map[string]string, prefix string, blocks map[string]block.Block) {
	for name, b := range blocks {
		known[prefix+name] = encodeFact(blockFact{b.Until.UnixMilli(), b.Times})
	}
}

// encodeFact encodes plain data, which cannot fail.
func encodeFact(value any) string {
	data, _ := json.Marshal(value)
	return string(data)
}
