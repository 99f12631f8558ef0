// Package cause finds out what broke a connection to an upstream: the upstream's end, or something else.
//
// A host that cannot reach upstreams sees no more than that, and would take each break for one of its network. But it may send by way of others, and a request
// may crash upstreams there. A host that loses its way to some upstreams may have its dials refused, and would take each break for an upstream's end. Whether an
// upstream goes on is not known from this host's state: somebody that can reach it has to look.
package cause

import (
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/sight"
)

// settleTimes are the pauses before an upstream that listens behind a break is looked at again: one that ends may close its connections before it ceases to listen.
var settleTimes = []time.Duration{100 * time.Millisecond, 400 * time.Millisecond}

// Cause may be used from several goroutines. Its fields are set before it is used.
type Cause struct {
	// Look dials an upstream from this host, Ask has others dial it.
	Look, Ask func(addr string) sight.Sight
	// Cut reports whether this host reaches no upstream at present.
	Cut func() bool
	// Upstream waits until it is known whether an upstream caused the break or the silence of a request sent at a time, as far as this host's network
	// tells, and reports whether it did.
	Upstream func(addr string, sent, failed time.Time, silent bool) bool
	Log      *zap.Logger
}

// IsToBlame waits until it is known whether an upstream caused the failure of a request sent at a time, and reports whether it did: it has ended, or stays silent.
func (c *Cause) IsToBlame(addr string, sent, failed time.Time, silent bool) bool {
	if silent {
		return c.Upstream(addr, sent, failed, silent)
	}
	seen := c.look(addr)
	for _, pause := range settleTimes {
		if seen == sight.Listens {
			time.Sleep(pause)
			seen = c.look(addr)
		}
	}
	told := sight.Unknown
	if seen != sight.Listens {
		told = c.Ask(addr)
	}
	if seen == sight.Listens || told == sight.Listens || told == sight.Unknown && !c.Upstream(addr, sent, failed, silent) {
		c.excuse(addr, seen, told)
		return false
	}
	return true
}

func (c *Cause) excuse(addr string, seen, told sight.Sight) {
	c.Log.Info("upstream goes on behind a break, as far as is known", zap.String("addr", addr), zap.Stringer("seen", seen), zap.Stringer("told", told))
}

// look looks at an upstream from here, unless this host reaches none.
func (c *Cause) look(addr string) sight.Sight {
	if c.Cut() {
		return sight.Unknown
	}
	return c.Look(addr)
}

// Gone reports whether nothing listens any more where an upstream did, as after a crash. Where nobody else can tell, a refused dial of this host does.
func (c *Cause) Gone(addr string) bool {
	seen := c.look(addr)
	if seen == sight.Listens {
		return false
	}
	told := c.Ask(addr)
	return told == sight.Gone || told == sight.Unknown && (seen == sight.Gone || c.Look(addr) == sight.Gone)
}
