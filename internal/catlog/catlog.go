// Package catlog holds the configuration in force on a node.
package catlog

import (
	"sync"

	"damaskreach/internal/adapt"
	"damaskreach/internal/runner"
	"damaskreach/internal/shard"
	"damaskreach/internal/tune"
)

// Catalog is immutable; its With methods return changed copies that share what did not change.
// Its content depends only on the rows it was given, not on their order: of two revisions of a row the higher one holds.
type Catalog struct {
	good     map[string]shard.Map[string, held] // last good rows by kind and name
	refused  shard.Map[string, refused]         // rows that failed their check, by row key
	gone     shard.Map[string, int64]           // revisions of deletions above complete, by row key
	claims   shard.Map[string, []string]        // tenants by the SHA-256 of their API keys
	runners  shard.Map[string, []runner.Runner] // runners by group, each sorted by name
	all      func() []runner.Runner             // all runners, sorted on the first call
	pinned   shard.Map[string, adapt.Adapter]   // pinned adapters by name
	tune     tune.Tune
	rev      int64 // highest revision seen
	complete int64 // every change up to it has been seen
}

// held is the last good value of a row. It is kept encoded, since most adapters are rarely asked for:
// decoded rows would take several times the memory.
type held struct {
	value string
	rev   int64
}

// NewCatalog returns an empty configuration with the default options.
func NewCatalog() Catalog {
	c := Catalog{
		good:    make(map[string]shard.Map[string, held], len(kinds)),
		refused: shard.NewMap[string, refused](),
		gone:    shard.NewMap[string, int64](),
		claims:  shard.NewMap[string, []string](),
		runners: shard.NewMap[string, []runner.Runner](),
		pinned:  shard.NewMap[string, adapt.Adapter](),
		tune:    tune.Default(),
	}
	for kind := range kinds {
		c.good[kind] = shard.NewMap[string, held]()
	}
	c.all = sync.OnceValue(c.sortRunners)
	return c
}

// Rev returns the highest revision seen. Lower ones may be missing; see Complete.
func (c Catalog) Rev() int64 {
	return c.rev
}

// Complete returns the revision up to which every change has been seen: the place to read the tail from.
// Rows that peers push ahead of the tail raise Rev but not Complete.
// A tail read from Rev would skip the changes between the two, and the node would miss an accepted change for good.
func (c Catalog) Complete() int64 {
	return c.complete
}
