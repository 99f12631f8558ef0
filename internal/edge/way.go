package edge

import (
	"context"
	"net"
	"time"

	"damaskreach/internal/change"
	"damaskreach/internal/effect"
	"damaskreach/internal/tunnel"
)

// yieldAfter is how long a host must have lost its way to give up its engines: others may not order them for some seconds then.
const yieldAfter = 300 * time.Millisecond

// sentOn notes that an answer is waited for on a connection.
func (e *Edge) sentOn(c net.Conn, addr string) {
	if _, passed := c.(*tunnel.Tunnel); !passed {
		e.reach.Sent(addr)
	}
}

// heardOn notes that something came on a connection.
func (e *Edge) heardOn(c net.Conn, addr string) {
	if _, passed := c.(*tunnel.Tunnel); !passed {
		e.reach.Heard(addr)
	}
}

// wayChanged tells others at once that this host has lost its way to upstreams, or has found it again, and has its engines looked at.
func (e *Edge) wayChanged(lost bool) {
	if m := e.mates.Load(); m != nil {
		m.Nudge()
	}
	if lost {
		time.AfterFunc(yieldAfter, e.tenure.Look)
	} else {
		e.tenure.Look()
	}
}

// order notes at engines' orders whether this host reaches them, as uplink does at requests.
func (e *Edge) order(ctx context.Context, c change.Change) (effect.Effect, error) {
	e.reach.Sent(c.Target.Addr)
	e.orders.Store(c.Target.ID, e.Clock())
	done, err := e.Give(ctx, c)
	e.orders.Store(c.Target.ID, e.Clock()) // it may have been on its way until now
	if done != effect.Unknown {
		e.reach.Heard(c.Target.Addr)
	}
	return done, err
}

// lastOrder returns when this host gave an engine its last order.
func (e *Edge) lastOrder(id string) (at time.Duration, ok bool) {
	last, ok := e.orders.Load(id)
	if !ok {
		return 0, false
	}
	return last.(time.Duration), true
}

// blocked reports whether this host cannot reach an engine, while others may.
func (e *Edge) blocked(id string) bool {
	return e.blockedFor(id) > 0
}

func (e *Edge) blockedFor(id string) time.Duration {
	t, upstream := e.intake.View().Targets[id]
	if !upstream {
		return 0 // a part of teams' limits, which needs no way to upstreams
	}
	return e.reach.Blocked(t.Addr)
}

// yields reports whether this host is to give up an engine: others reach it, and this host has not found its way to it at once.
func (e *Edge) yields(id string) bool {
	m := e.mates.Load()
	return m != nil && len(m.Reaching()) > 0 && e.blockedFor(id) >= yieldAfter
}

// able reports whether another host reaches upstreams, as far as it has said.
func (e *Edge) able(ip string) bool {
	m := e.mates.Load()
	if m == nil {
		return true
	}
	_, serves := m.Serving()[ip]
	_, reaches := m.Reaching()[ip]
	return reaches || !serves
}
