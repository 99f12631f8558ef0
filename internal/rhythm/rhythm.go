// Package rhythm derives how often hosts speak, and each time that depends on it, from how many hosts there are.
//
// Where a bound on silence does not follow from the pause between messages, a larger site declares all of its hosts lost between
// two messages of each; one would notice lookups that name one host, and loads that nobody orders.
package rhythm

import "time"

const (
	// Relays is how many hosts of a data centre speak for the others: each is the other's reserve.
	Relays = 2
	// least is the pause between two messages where a relay has few hosts. Counts a fifth of a second old still tell a busy engine
	// from an idle one, where a request runs for seconds.
	least = 200 * time.Millisecond
	// most is how many questions a second a relay answers.
	most = 200
	// lost is how many messages in a row may be lost before a host counts as lost.
	lost = 6
	// steady is how long a host may be silent at least: one that freezes must leave the answers to lookups within the time
	// that callers take to try another address, and a small host is held up for longer than a few messages.
	steady = 1200 * time.Millisecond
)

// Rhythm is immutable.
type Rhythm struct {
	every time.Duration
	hops  time.Duration // messages that bring news from a host to any other
}

// NewRhythm returns the times for a site with so many hosts in its largest data centre, and so many data centres.
func NewRhythm(hosts, centres int) Rhythm {
	asked := (hosts+Relays-1)/Relays + (centres*Relays)/2
	hops := time.Duration(1)
	if hosts > Relays {
		hops = 3 // to its relay, to the other's relay, and to the other
	}
	return Rhythm{every: max(least, time.Duration(asked)*time.Second/most), hops: hops}
}

// Every returns the pause between two messages of a host to its relay, and of one relay to another.
func (r Rhythm) Every() time.Duration {
	return r.every
}

// Silent returns how long a host counts as alive after it was last heard.
func (r Rhythm) Silent() time.Duration {
	return max(steady, lost*r.every)
}

// Patience returns how long an answer is awaited before another relay is asked.
func (r Rhythm) Patience() time.Duration {
	return r.Silent() / 3
}

// Unused returns how long no use of an adapter must have been heard of for it to be taken as unused: its last use is told as late as any
// news, and told again with the next message.
func (r Rhythm) Unused() time.Duration {
	return r.Old() + r.every*3/2
}

// Old returns how old news may be when it reaches the last host, where no message is lost.
func (r Rhythm) Old() time.Duration {
	return r.hops * r.every
}
