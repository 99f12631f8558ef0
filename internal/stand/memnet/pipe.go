package memnet

import (
	"sync"
	"time"
)

const bufferMost = 64 << 10 // see Net.buffer

// pipe carries bytes in one direction of a connection.
type pipe struct {
	net      *Net
	link     *link
	from, to string
	cond     *sync.Cond // shared by both directions: one of them, an end or a deadline changed
	parts    []part     // oldest first
	size     int        // bytes in parts
	end      error      // what the reader gets after the parts; nil while the writer is open
	endDue   time.Time
	alarm    *time.Timer
	alarmDue time.Time
}

type part struct {
	data []byte
	due  time.Time // when it arrives
}

func newPipe(n *Net, cond *sync.Cond, from, to string) *pipe {
	return &pipe{net: n, link: n.link(from, to), from: from, to: to, cond: cond}
}

// held reports whether no byte moves at present.
func (p *pipe) held() bool {
	return !p.net.open(p.from, p.to)
}

// arrival returns when something sent now arrives at the earliest; it waits for what was sent before it.
func (p *pipe) arrival() time.Time {
	return time.Now().Add(p.link.latency)
}

// put takes as much of b as fits. What is sent over a broken connection before its end shows is gone.
func (p *pipe) put(b []byte) int {
	if p.end != nil {
		return len(b)
	}
	n := min(len(b), p.net.buffer-p.size)
	if n <= 0 {
		return 0
	}
	due := p.net.carry(p.from, p.to, n, p.link.latency)
	p.parts = append(p.parts, part{append([]byte(nil), b[:n]...), due})
	p.size += n
	p.cond.Broadcast()
	return n
}

// take moves arrived bytes into b; done is false while there is nothing to return.
func (p *pipe) take(b []byte) (n int, done bool, err error) {
	for n < len(b) && len(p.parts) > 0 && p.arrived(p.parts[0].due) {
		head := &p.parts[0]
		copied := copy(b[n:], head.data)
		n += copied
		p.size -= copied
		head.data = head.data[copied:]
		if len(head.data) == 0 {
			p.parts = p.parts[1:]
		}
	}
	if n > 0 {
		p.cond.Broadcast() // the writer has room
		return n, true, nil
	}
	if len(p.parts) == 0 && p.ended() {
		return 0, true, p.end
	}
	return 0, false, nil
}

// ended reports whether the reader's host has learnt that the writer is gone.
func (p *pipe) ended() bool {
	return p.end != nil && p.arrived(p.endDue)
}

// arrived reports whether what was due then is there, and sees to it that the reader looks again in time.
func (p *pipe) arrived(due time.Time) bool {
	if p.held() {
		return false
	}
	if healed := p.link.healed.Add(p.link.latency); due.Before(healed) {
		due = healed
	}
	if time.Until(due) <= 0 {
		return true
	}
	p.wakeAt(due)
	return false
}

// wakeAt sets the alarm unless it is set for an earlier time, after which its waiters set it anew.
func (p *pipe) wakeAt(due time.Time) {
	switch {
	case p.alarm == nil:
		p.alarm = time.AfterFunc(time.Until(due), p.signal)
	case time.Until(p.alarmDue) > 0 && !due.Before(p.alarmDue):
		return
	default:
		p.alarm.Reset(time.Until(due))
	}
	p.alarmDue = due
}

func (p *pipe) signal() {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.cond.Broadcast()
}

func (p *pipe) drop() {
	p.parts = nil
	p.size = 0
}

// finish ends the pipe, unless it has ended already.
func (p *pipe) finish(end error) {
	if p.end != nil {
		return
	}
	p.end = end
	p.endDue = p.arrival()
	p.cond.Broadcast()
}
