package main

import (
	"net"
	"sync"
	"time"
)

const (
	// linkRate is the bytes a second of a machine's link: 1,000 Mbit/s.
	linkRate = 125_000_000
	// linkPiece is how many bytes are sent at once.
	linkPiece = 32 << 10
)

// link is the way to one machine, which all requesters share. A loopback address would take far more than a machine's link.
type link struct {
	mu   sync.Mutex
	free time.Time // when the bytes sent so far will have passed
}

// send writes bytes to a channel, no faster than the link takes them.
func (l *link) send(c net.Conn, data []byte) error {
	for len(data) > 0 {
		n := min(linkPiece, len(data))
		time.Sleep(time.Until(l.reserve(n)))
		if _, err := c.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// reserve returns when a number of bytes may be sent.
func (l *link) reserve(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	at := l.free
	l.free = l.free.Add(time.Duration(n) * time.Second / linkRate)
	return at
}

// linkSet holds the links by address.
type linkSet struct {
	mu sync.Mutex
	by map[string]*link
}

var links = linkSet{by: map[string]*link{}}

func (s *linkSet) to(addr string) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.by[addr] == nil {
		s.by[addr] = &link{}
	}
	return s.by[addr]
}
