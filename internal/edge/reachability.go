package edge

import (
	"context"
	"net"
	"time"

	"damaskreach/internal/change"
	"damaskreach/internal/effect"
	"damaskreach/internal/tunnel"
)

// releaseDelay is how long a host must be cut off from an engine before it releases it: after that, it gets no orders for seconds.
const releaseDelay = 300 * time.Millisecond

// noteSent records that an answer is awaited on a connection.
func (e *Edge) noteSent(c net.Conn, addr string) {
	if _, tunneled := c.(*tunnel.Tunnel); !tunneled {
		e.reach.Sent(addr)
	}
}

// noteReceived records that data came on a connection.
func (e *Edge) noteReceived(c net.Conn, addr string) {
	if _, tunneled := c.(*tunnel.Tunnel); !tunneled {
		e.reach.Received(addr)
	}
}

// reachabilityChanged tells others at once that this host is cut off or no longer is, and has its engines reviewed.
func (e *Edge) reachabilityChanged(lost bool) {
	if m := e.mates.Load(); m != nil {
		m.Nudge()
	}
	if lost {
		time.AfterFunc(releaseDelay, e.tenure.ClaimSoon)
	} else {
		e.tenure.ClaimSoon()
	}
}

// sendOrder sends an engine an order and records whether this host reaches it, as uplink does for requests.
func (e *Edge) sendOrder(ctx context.Context, c change.Change) (effect.Effect, error) {
	e.reach.Sent(c.Target.Addr)
	e.lastOrders.Store(c.Target.ID, e.Clock())
	done, err := e.SendOrder(ctx, c)
	e.lastOrders.Store(c.Target.ID, e.Clock()) // it may have been in flight until now
	if done != effect.Unknown {
		e.reach.Received(c.Target.Addr)
	}
	return done, err
}

// lastOrder returns when this host sent an engine its last order.
func (e *Edge) lastOrder(id string) (at time.Duration, ok bool) {
	last, ok := e.lastOrders.Load(id)
	if !ok {
		return 0, false
	}
	return last.(time.Duration), true
}

// unreachable reports whether this host cannot reach an engine that others may reach.
func (e *Edge) unreachable(id string) bool {
	return e.unreachableFor(id) > 0
}

func (e *Edge) unreachableFor(id string) time.Duration {
	t, isUpstream := e.intake.View().Targets[id]
	if !isUpstream {
		return 0 // a shard of teams' limits, which needs no route to upstreams
	}
	return e.reach.Blocked(t.Addr)
}

// shouldRelease reports whether this host should release an engine: others reach upstreams, and this one has been cut off from it for long.
func (e *Edge) shouldRelease(id string) bool {
	m := e.mates.Load()
	return m != nil && len(m.Connected()) > 0 && e.unreachableFor(id) >= releaseDelay
}

// hostReaches reports whether another host reaches upstreams, as far as it has reported.
func (e *Edge) hostReaches(ip string) bool {
	m := e.mates.Load()
	if m == nil {
		return true
	}
	_, serves := m.Serving()[ip]
	_, reaches := m.Connected()[ip]
	return reaches || !serves
}
