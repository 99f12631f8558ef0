// Package memnet is a network in memory for tests in synctest bubbles, with the faults of a real one.
//
// Everything blocks on condition variables and timers only, so that virtual time can pass.
package memnet

import (
	"hash/fnv"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	firstPort    = 20000                  // of those given to dialers and to listeners that ask for port 0
	leastLatency = 100 * time.Microsecond // of a seeded link
	latencySpan  = 900 * time.Microsecond // between the least and the most latency of a seeded link
)

// Net connects hosts, which are named by their IPs. Make it inside the bubble that uses it.
type Net struct {
	mu        sync.Mutex // guards everything reachable from here
	changed   *sync.Cond // links, hosts or listeners changed
	seed      int64
	port      int
	linger    bool
	buffer    int // bytes a direction of a connection holds before its writer waits
	listeners map[string]*listener
	links     map[pair]*link
	frozen    map[string]bool
	cards     map[string]*card
	conns     map[*conn]bool
}

type pair struct{ from, to string }

// link is one direction between two hosts.
type link struct {
	cut     bool
	healed  time.Time // when the last cut ended
	latency time.Duration
}

// NewNet returns a network whose links have latencies drawn from seed, the same ones for each run.
func NewNet(seed int64) *Net {
	n := &Net{
		seed:      seed,
		port:      firstPort,
		buffer:    bufferMost,
		listeners: map[string]*listener{},
		links:     map[pair]*link{},
		frozen:    map[string]bool{},
		cards:     map[string]*card{},
		conns:     map[*conn]bool{},
	}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// link returns the direction from one host to another.
func (n *Net) link(from, to string) *link {
	key := pair{from, to}
	l := n.links[key]
	if l == nil {
		l = &link{latency: n.drawn(from, to)}
		n.links[key] = l
	}
	return l
}

// drawn returns the seeded latency of a pair, the same in both directions.
func (n *Net) drawn(from, to string) time.Duration {
	if from == to {
		return 0
	}
	sum := fnv.New64a()
	sum.Write([]byte(strconv.FormatInt(n.seed, 10) + " " + min(from, to) + " " + max(from, to)))
	return leastLatency + time.Duration(sum.Sum64()%uint64(latencySpan))
}

// open reports whether bytes move from one host to another.
func (n *Net) open(from, to string) bool {
	return !n.link(from, to).cut && !n.frozen[from] && !n.frozen[to]
}

// wake lets all that waits look at the network again.
func (n *Net) wake() {
	n.changed.Broadcast()
	for c := range n.conns {
		c.in.cond.Broadcast()
	}
}

func (n *Net) nextPort() uint16 {
	n.port++
	return uint16(n.port)
}

func parse(op, addr string) (netip.AddrPort, error) {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return parsed, &net.OpError{Op: op, Net: "tcp", Err: &net.AddrError{Err: err.Error(), Addr: addr}}
	}
	return parsed, nil
}

func fault(op string, from, to net.Addr, number syscall.Errno) error {
	return &net.OpError{Op: op, Net: "tcp", Source: from, Addr: to, Err: number}
}
