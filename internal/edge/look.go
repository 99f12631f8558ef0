package edge

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/mate"
	"damaskreach/internal/sight"
)

// lookTimeout bounds asking other hosts what they see of an upstream, their dials included. A request that goes on elsewhere may wait for it.
const lookTimeout = 500 * time.Millisecond

// lookForPeer looks at an upstream for another host.
func (e *Edge) lookForPeer(addr string) sight.Sight {
	if !slices.Contains(e.upstreamAddrs(), addr) {
		return sight.Unknown
	}
	return e.reach.Look(addr)
}

// lookHosts returns the hosts to ask what they see of an upstream. Where upstreams crash together, all hosts may take themselves for cut off: a dial that is refused
// tells none of them which it is.
func (e *Edge) lookHosts() []mate.Mate {
	if hosts := e.detourHosts(); len(hosts) > 0 {
		return hosts
	}
	if m := e.mates.Load(); m != nil {
		return e.someOf(m.Serving())
	}
	return nil
}

// askPeers has other hosts look at an upstream until one reaches it, once for those that ask at the same time. One that is refused may have lost its way to the
// upstream, as this host may.
func (e *Edge) askPeers(addr string) sight.Sight {
	seen, _, _ := e.looks.Do(addr, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
		defer cancel()
		best := sight.Unknown
		for _, h := range e.lookHosts() {
			var seen sight.Sight
			if err := e.mesh.Load().Ask(ctx, h.PeerAddr, methodLook, addr, &seen); err != nil {
				e.Log.Debug("asking what is seen of an upstream failed", zap.String("host", h.IP), zap.Error(err))
				continue
			}
			if seen == sight.Listens {
				return seen, nil
			}
			if seen != sight.Unknown {
				best = seen
			}
		}
		return best, nil
	})
	return seen.(sight.Sight)
}
