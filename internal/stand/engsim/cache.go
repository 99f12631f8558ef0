package engsim

import (
	"slices"
	"time"
)

const (
	kindStored  = "stored"
	kindEvicted = "evicted"
	keptEvents  = 1024
	gapEvery    = 7 // of so many events one is never published
)

// event says that the engine remembered or forgot a prompt prefix.
type event struct {
	Seq    int64     `json:"seq"`
	Kind   string    `json:"kind"`
	Model  string    `json:"model"`
	Prefix string    `json:"prefix"`
	At     time.Time `json:"at"`
}

type prefix struct {
	model string
	hash  string
}

// cache remembers the prefixes used last, and publishes its changes late and with gaps.
type cache struct {
	recent []prefix // least recently used first
	events []event
	seq    int64
}

func newCache() *cache {
	return &cache{}
}

// use reports whether p was remembered, and remembers it as the latest of at most limit.
func (c *cache) use(p prefix, limit int, now time.Time) bool {
	at := slices.Index(c.recent, p)
	if at >= 0 {
		c.recent = append(slices.Delete(c.recent, at, at+1), p)
		return true
	}
	c.recent = append(c.recent, p)
	c.publish(kindStored, p, now)
	if len(c.recent) > limit {
		c.publish(kindEvicted, c.recent[0], now)
		c.recent = slices.Delete(c.recent, 0, 1)
	}
	return false
}

// drop forgets the prefixes of a model that was unloaded.
func (c *cache) drop(model string, now time.Time) {
	kept := c.recent[:0]
	for _, p := range c.recent {
		if p.model != model {
			kept = append(kept, p)
			continue
		}
		c.publish(kindEvicted, p, now)
	}
	c.recent = kept
}

func (c *cache) publish(kind string, p prefix, now time.Time) {
	c.seq++
	if c.seq%gapEvery == 0 {
		return
	}
	c.events = append(c.events, event{Seq: c.seq, Kind: kind, Model: p.model, Prefix: p.hash, At: now})
	if len(c.events) > keptEvents {
		c.events = slices.Delete(c.events, 0, len(c.events)-keptEvents)
	}
}

// after returns the events numbered above seq that happened by the given time.
func (c *cache) after(seq int64, by time.Time) []event {
	found := []event{}
	for _, e := range c.events {
		if e.Seq > seq && !e.At.After(by) {
			found = append(found, e)
		}
	}
	return found
}
