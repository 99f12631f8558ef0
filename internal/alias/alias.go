// Package alias tells which names of ended upstreams stand for one end.
//
// A restarted upstream is known by its former registration until the new one has come, which takes longer at one host than at another. Where it ends meanwhile, hosts name that end
// differently, and one host may see it under both names. Counted twice, an end looks like two at which the same requests were present.
package alias

import (
	"strings"
	"time"

	"damaskreach/internal/recent"
)

const (
	// oneEnd is within which an upstream ends once: it takes longer to start again and to be sent requests, and less to hear of an end from all hosts.
	oneEnd = time.Second
	// retention is how long a name stands for an end, as long as ends count, and maxNames bounds the names that are kept for each retention, some 150 bytes each.
	retention = 2 * time.Minute
	maxNames  = 20000
)

// Alias may be used from one goroutine at a time.
type Alias struct {
	names *recent.Recent[string, string] // the name that an end counts under, by each of its names
	last  *recent.Recent[string, end]    // by upstream
}

// end is the last end of an upstream: the first of its names, and when it became known.
type end struct {
	name string
	at   time.Time
}

// NewAlias returns an Alias that knows of no end.
func NewAlias() *Alias {
	return &Alias{
		names: recent.NewRecent[string, string](retention, maxNames),
		last:  recent.NewRecent[string, end](retention, maxNames),
	}
}

// EndedSince reports whether an end of an upstream became known after a time, under whichever name.
func (a *Alias) EndedSince(upstream string, since time.Time) bool {
	last, known := a.last.Get(idOf(upstream))
	return known && last.at.After(since)
}

// idOf returns the id of an upstream in the name of one of its ends.
func idOf(name string) string { return name[:max(0, strings.LastIndex(name, "/"))] }

// Name returns the name that the end of an upstream counts under, given the one that a host knows it by, "ID/INCARNATION".
func (a *Alias) Name(upstream string, now time.Time) string {
	if name, known := a.names.Get(upstream); known {
		return name
	}
	id := idOf(upstream)
	name := upstream
	if last, known := a.last.Get(id); known && id != "" && now.Sub(last.at) < oneEnd {
		name = last.name
	} else {
		a.last.Set(id, end{upstream, now}, now)
	}
	a.names.Set(upstream, name, now)
	return name
}
