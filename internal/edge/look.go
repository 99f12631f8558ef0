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

// askPeers has other hosts look at an upstream until one sees something of it, once for those that ask at the same time.
func (e *Edge) askPeers(addr string) sight.Sight {
	seen, _, _ := e.looks.Do(addr, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
		defer cancel()
		for _, h := range e.lookHosts() {
			var seen sight.Sight
			err := e.mesh.Load().Ask(ctx, h.PeerAddr, methodLook, addr, &seen)
			if err != nil {
				e.Log.Debug("asking what is seen of an upstream failed", zap.String("host", h.IP), zap.Error(err))
			}
			if err == nil && seen != sight.Unknown {
				return seen, nil
			}
		}
		return sight.Unknown, nil
	})
	return seen.(sight.Sight)
}
