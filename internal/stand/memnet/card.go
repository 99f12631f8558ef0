package memnet

import "time"

// card is what connects a host to the network: all its connections share one rate in each direction.
type card struct {
	rate    float64   // bytes a second
	out, in time.Time // when it is free again
}

// SetRate bounds how many bytes a second a host sends, and how many it receives; hosts have no bound at first. What is sent waits for what was
// sent before it over any connection of the host, as on one wire.
func (n *Net) SetRate(host string, rate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cards[host] = &card{rate: rate}
}

// carry returns when bytes that are sent now arrive.
func (n *Net) carry(from, to string, bytes int, latency time.Duration) time.Time {
	due := time.Now()
	if c := n.cards[from]; c != nil && from != to {
		c.out = c.after(c.out, due, bytes)
		due = c.out
	}
	due = due.Add(latency)
	if c := n.cards[to]; c != nil && from != to {
		c.in = c.after(c.in, due, bytes)
		due = c.in
	}
	return due
}

// after returns when a direction that is free at one time has carried bytes that are there at another.
func (c *card) after(free, at time.Time, bytes int) time.Time {
	if free.After(at) {
		at = free
	}
	return at.Add(time.Duration(float64(bytes) / c.rate * float64(time.Second)))
}
