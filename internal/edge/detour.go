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
	// mostByway is how many other hosts one sends its connections by: few, so that it keeps few connections to hosts; several, so that none of them
	// carries all. Each host has others.
	mostByway = 4
	// triesByway is how many of them are asked for one connection.
	triesByway = 2
	// passShare is the part of the process's descriptors that connections for others may take.
	passShare = 2
)

// errAlone means that no other host is known to reach upstreams.
var errAlone = merry.Sentinel("edge: no other host reaches upstreams")

// connect opens a connection to an upstream: of this host's own, or where that is not to be had one by way of another host. A host may lose its way
// to upstreams while callers still reach it; its callers would be refused while others are served.
func (e *Edge) connect(ctx context.Context, addr string) (net.Conn, error) {
	_, lost := e.reach.Lost(addr)
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

// detour opens a connection by way of another host.
func (e *Edge) detour(ctx context.Context, addr string) (net.Conn, error) {
	err := merry.Wrap(errAlone)
	outcome := "none"
	for _, h := range e.byway() {
		t, failed := tunnel.Open(ctx, h.IP, addr, func(ctx context.Context) (*strm.Stream, error) {
			return e.mesh.Load().Open(ctx, h.Peers, methodPass, addr)
		})
		if failed == nil {
			e.Stats.Add(stats.Detours, 1, "outcome", "ok")
			e.reach.Byway(addr)
			e.Log.Info("connected by way of another host", zap.String("addr", addr), zap.String("host", h.IP))
			return t, nil
		}
		err, outcome = failed, "failed"
	}
	e.Stats.Add(stats.Detours, 1, "outcome", outcome)
	return nil, err
}

// byway returns the hosts that are asked to open a connection for this one, in the order in which they are.
func (e *Edge) byway() []mate.Mate {
	m := e.mates.Load()
	if m == nil {
		return nil
	}
	reaching := m.Reaching()
	ips := make([]string, 0, len(reaching))
	for ip := range reaching {
		ips = append(ips, ip)
	}
	ips = spread.First(ips, e.Setup().IP, mostByway)
	rand.Shuffle(len(ips), func(i, j int) { ips[i], ips[j] = ips[j], ips[i] })
	var hosts []mate.Mate
	for _, ip := range ips[:min(triesByway, len(ips))] {
		hosts = append(hosts, reaching[ip])
	}
	return hosts
}

// usable reports whether a kept connection on which something came last at a time may be used: not one of this host's own that seems to hang, nor one by way
// of another host that is not needed any more, or leaves.
func (e *Edge) usable(c net.Conn, heard time.Time) bool {
	since, lost := e.reach.Lost(c.RemoteAddr().String())
	t, passed := c.(*tunnel.Tunnel)
	if !passed {
		return !lost || heard.After(since)
	}
	m := e.mates.Load()
	_, reaching := m.Reaching()[t.Host()]
	return lost && reaching && t.Quiet()
}

// pass opens a connection to an upstream for another host, of this host's own alone: two hosts that have lost their way would send each other round in
// circles.
func (e *Edge) pass(ctx context.Context, s *strm.Stream) error {
	var addr string
	if err := s.Recv(ctx, &addr); err != nil {
		return err
	}
	if e.late() {
		return refuse.NewRefusal(verd.NotRun, refuse.Leaving, "this host is about to stop")
	}
	if !slices.Contains(e.upstreams(), addr) {
		return refuse.NewRefusal(verd.NotRun, refuse.NoUpstream, "no upstream at %s", addr)
	}
	if e.passes.Add(1) > int64(e.Setup().Files/passShare) {
		e.passes.Add(-1)
		return refuse.NewRefusal(verd.NotRun, refuse.Overloaded, "too many connections for other hosts")
	}
	defer e.passes.Add(-1)
	c, err := e.reach.Dial(ctx, addr)
	if err != nil {
		return verd.Mark(err, verd.NotRun)
	}
	return tunnel.Pass(ctx, s, c)
}
