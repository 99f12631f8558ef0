package memnet

import (
	"io"
	"syscall"
	"time"
)

// SetLatency sets the one-way latency between two hosts, in both directions.
func (n *Net) SetLatency(a, b string, latency time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link(a, b).latency = latency
	n.link(b, a).latency = latency
}

// SetLinger decides what becomes of bytes that a connection still holds for a cut link when it is closed.
// By default they are dropped. With linger they arrive after the cut, as a kernel's retransmissions would:
// an order its sender has long given up on still reaches its receiver.
func (n *Net) SetLinger(linger bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linger = linger
}

// SetBuffer sets how many bytes a direction of a connection holds, 64 KiB at first, before its writer waits.
// With few bytes a writer waits as soon as its link is cut.
func (n *Net) SetBuffer(bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.buffer = bytes
	n.wake()
}

// Ends returns how many ends of connections are open; a connection has two.
func (n *Net) Ends() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// Cut holds back all bytes between two hosts until Heal. Connections stay up and dials hang.
func (n *Net) Cut(a, b string) {
	n.setCut(true, pair{a, b}, pair{b, a})
}

// Heal ends a cut in both directions; what was held back arrives one latency later.
func (n *Net) Heal(a, b string) {
	n.setCut(false, pair{a, b}, pair{b, a})
}

// CutOneWay holds back the bytes from one host to another; the other direction stays as it is.
func (n *Net) CutOneWay(from, to string) {
	n.setCut(true, pair{from, to})
}

// HealOneWay ends a cut in one direction.
func (n *Net) HealOneWay(from, to string) {
	n.setCut(false, pair{from, to})
}

func (n *Net) setCut(cut bool, pairs ...pair) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range pairs {
		l := n.link(p.from, p.to)
		if l.cut && !cut {
			l.healed = time.Now()
		}
		l.cut = cut
	}
	n.wake()
}

// Freeze stops a host as a paused virtual machine: none of its calls on the network return, whatever their
// deadlines, and no byte reaches it or leaves it. Its goroutines run on until they touch the network.
func (n *Net) Freeze(host string) {
	n.setFrozen(host, true)
}

// Thaw lets a frozen host go on where it stopped.
func (n *Net) Thaw(host string) {
	n.setFrozen(host, false)
}

func (n *Net) setFrozen(host string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[host] = frozen
	n.wake()
}

// Kill closes a host's connections and listeners at once. The other ends read what was under way and then
// a connection reset; dials are refused until something on the host listens again.
func (n *Net) Kill(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for key, l := range n.listeners {
		if l.host == host {
			l.closed = true
			delete(n.listeners, key)
		}
	}
	for c := range n.conns {
		if c.host() == host {
			c.shut(syscall.ECONNRESET)
		}
	}
	n.frozen[host] = false
	n.wake()
}

// Break resets all connections between two hosts; listeners stay, so that new dials succeed.
// Neither end is told over a cut link until it heals.
func (n *Net) Break(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		local, remote := c.host(), c.remote.IP.String()
		if (local == a && remote == b) || (local == b && remote == a) {
			c.out.finish(syscall.ECONNRESET)
		}
	}
	n.wake()
}

// shut closes c; its peer reads end after the bytes under way.
func (c *conn) shut(end error) {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.net.conns, c)
	if !c.net.linger && c.out.held() && end == io.EOF {
		c.out.drop()
		end = syscall.ECONNRESET
	}
	c.out.finish(end)
	c.in.cond.Broadcast()
}
