package edge

import (
	"slices"
	"sync"

	"damaskreach/internal/mate"
	"damaskreach/internal/spread"
)

// mostDuty is how many of the strongest hosts share what some host must do for an upstream whose own host is not there.
const mostDuty = 16

// duty is which hosts do something for others, as of a moment ago.
type duty struct {
	self   string
	living map[string]mate.Mate // other hosts that are alive
	hosts  []string             // that do what nobody else does
	picked sync.Map             // which of them, by upstream: a relay asks for each engine that each host uses, at each message
}

// newDuty returns the duty where these other hosts are alive.
func newDuty(self mate.Mate, living map[string]mate.Mate) *duty {
	first := []mate.Mate{self}
	for _, m := range living {
		if len(first) == mostDuty && first[mostDuty-1].Before(m) {
			continue
		}
		at := slices.IndexFunc(first, m.Before)
		if at < 0 {
			at = len(first)
		}
		first = slices.Insert(first, at, m)
		first = first[:min(len(first), mostDuty)]
	}
	d := &duty{self: self.IP, living: living}
	for _, m := range first {
		d.hosts = append(d.hosts, m.IP)
	}
	return d
}

// look brings up to date which hosts do something for others.
func (e *Edge) look() {
	var living map[string]mate.Mate
	if m := e.mates.Load(); m != nil {
		living = m.Living()
	}
	e.duty.Store(newDuty(e.Setup().Mate(), living))
}

// counter returns the host that counts the requests for an upstream without a host that gives it orders.
func (e *Edge) counter(id string) string {
	return e.duty.Load().pick(id)
}

func (d *duty) pick(id string) string {
	if host, ok := d.picked.Load(id); ok {
		return host.(string)
	}
	host := spread.Pick(d.hosts, id)
	d.picked.Store(id, host)
	return host
}

// turner returns the host that grants the turns at an engine: the one that gives it its orders, or another one where that is not there.
func (e *Edge) turner(id string) string {
	owner, d := e.tenure.Owner(id), e.duty.Load()
	if _, alive := d.living[owner]; alive || owner == d.self {
		return owner
	}
	return d.pick(id)
}

// grants reports whether this host grants the turns at an engine.
func (e *Edge) grants(id string) bool {
	return e.turner(id) == e.duty.Load().self
}
