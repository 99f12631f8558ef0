package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"damaskreach/internal/mate"
	"damaskreach/internal/spread"
	"damaskreach/internal/stats"
	"damaskreach/internal/strm"
	"damaskreach/internal/tunnel"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	// maxDetourHosts is how many other hosts one uses for detours: few, to keep few connections between hosts; several, to spread the load.
	// Each host uses different ones.
	maxDetourHosts = 4
	// detourAttempts is how many of them are asked for one connection.
	detourAttempts = 2
	// forwardFilesDivisor limits connections for other hosts to 1/forwardFilesDivisor of the process's file descriptors.
	forwardFilesDivisor = 2
)

// errNoDetour means that no other host is known to reach upstreams.
var errNoDetour = merry.Sentinel("edge: no other host reaches upstreams")

// connect opens a connection to an upstream, directly or, if that fails, through another host. A host may be cut off from upstreams while
// callers still reach it; without a detour their requests would be refused.
func (e *Edge) connect(ctx context.Context, addr string) (net.Conn, error) {
	_, lost := e.reach.Unreachable(addr)
	if !lost {
		c, err := e.reach.Dial(ctx, addr)
		if err == nil || ctx.Err() != nil {
			return c, err
		}
	}
	e.reach.Retry(ctx, addr)
	c, err := e.detour(ctx, addr)
	if err != nil && lost && ctx.Err() == nil {
		return e.reach.Dial(ctx, addr)
	}
	return c, err
}

// detour opens a connection through another host.
func (e *Edge) detour(ctx context.Context, addr string) (net.Conn, error) {
	err := merry.Wrap(errNoDetour)
	outcome := "none"
	for _, h := range e.detourHosts() {
		t, failed := tunnel.Open(ctx, h.IP, addr, func(ctx context.Context) (*strm.Stream, error) {
			return e.mesh.Load().Open(ctx, h.PeerAddr, methodForward, addr)
		})
		if failed == nil {
			e.Stats.Add(stats.Detours, 1, "outcome", "ok")
			e.reach.ReachedByOther(addr)
			e.Log.Info("connected through another host", zap.String("addr", addr), zap.String("host", h.IP))
			return t, nil
		}
		err, outcome = failed, "failed"
	}
	e.Stats.Add(stats.Detours, 1, "outcome", outcome)
	return nil, err
}

// detourHosts returns the hosts to ask for a forwarded connection, in order.
func (e *Edge) detourHosts() []mate.Mate {
	m := e.mates.Load()
	if m == nil {
		return nil
	}
	return e.someOf(m.Connected())
}

// someOf returns a few hosts of a list in a random order, mostly the same ones each time.
func (e *Edge) someOf(list map[string]mate.Mate) []mate.Mate {
	ips := make([]string, 0, len(list))
	for ip := range list {
		ips = append(ips, ip)
	}
	ips = spread.Rank(ips, e.Setup().IP, maxDetourHosts)
	rand.Shuffle(len(ips), func(i, j int) { ips[i], ips[j] = ips[j], ips[i] })
	var hosts []mate.Mate
	for _, ip := range ips[:min(detourAttempts, len(ips))] {
		hosts = append(hosts, list[ip])
	}
	return hosts
}

// connUsable reports whether an idle connection that last received data at lastReceived may be reused: not a direct one that seems to hang,
// nor one through another host that is no longer needed or whose host is leaving.
func (e *Edge) connUsable(c net.Conn, lastReceived time.Time) bool {
	lostSince, lost := e.reach.Unreachable(c.RemoteAddr().String())
	t, tunneled := c.(*tunnel.Tunnel)
	if !tunneled {
		return !lost || lastReceived.After(lostSince)
	}
	m := e.mates.Load()
	_, reaching := m.Connected()[t.Host()]
	return lost && reaching && t.Quiet()
}

// forwardConn opens a connection to an upstream for another host, only directly: two hosts without a route would forward to each other in a
// loop.
func (e *Edge) forwardConn(ctx context.Context, s *strm.Stream) error {
	var addr string
	if err := s.Recv(ctx, &addr); err != nil {
		return err
	}
	if e.closing.Err() != nil {
		return refuse.NewRefusal(verd.NotRun, refuse.Leaving, "this host is about to stop")
	}
	if !slices.Contains(e.upstreamAddrs(), addr) {
		return refuse.NewRefusal(verd.NotRun, refuse.NoUpstream, "no upstream at %s", addr)
	}
	if e.forwardedConns.Add(1) > int64(e.Setup().Files/forwardFilesDivisor) {
		e.forwardedConns.Add(-1)
		return refuse.NewRefusal(verd.NotRun, refuse.Overloaded, "too many connections for other hosts")
	}
	defer e.forwardedConns.Add(-1)
	c, err := e.reach.Dial(ctx, addr)
	if err != nil {
		return verd.Mark(err, verd.NotRun)
	}
	return tunnel.Pass(ctx, s, c)
}
