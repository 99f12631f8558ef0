// Package tally counts what goes over the connections that nodes dial, by the method of their requests.
package tally

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"

	"damaskreach/internal/frame"
	"damaskreach/internal/strm"
)

// What is counted beside the methods of requests between nodes.
const (
	Keepalive = "(keepalive)" // pings and their answers
	Handshake = "(handshake)" // and goodbyes
	Upstream  = "(http)"      // all of a connection that does not speak the protocol between nodes
)

// Tally sums over all connections dialled through it, both directions of each. Its methods may be called from several
// goroutines.
type Tally struct {
	mu     sync.Mutex
	counts map[string]*count
}

type count struct {
	messages, bytes int64
}

// NewTally returns a tally of nothing.
func NewTally() *Tally {
	return &Tally{counts: make(map[string]*count)}
}

// Dial returns a dial function whose connections are counted.
func (t *Tally) Dial(dial func(ctx context.Context, addr string) (net.Conn, error)) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		nc, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return newConn(nc, t), nil
	}
}

// Names returns what was counted since Reset, sorted.
func (t *Tally) Names() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.counts))
}

// Count returns the messages of a method and the bytes of all its frames, headers included.
// Of Upstream it knows the bytes only.
func (t *Tally) Count(name string) (messages, bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts[name]
	if c == nil {
		return 0, 0
	}
	return c.messages, c.bytes
}

// Reset starts anew.
func (t *Tally) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.counts)
}

// add needs the lock.
func (t *Tally) add(name string, messages, bytes int) {
	c := t.counts[name]
	if c == nil {
		c = &count{}
		t.counts[name] = c
	}
	c.messages += int64(messages)
	c.bytes += int64(bytes)
}

// take counts a frame; methods are those of the connection's streams. It needs the lock.
func (t *Tally) take(f frame.Frame, methods map[uint64]string) {
	size := frame.Overhead + len(f.Body)
	switch f.Kind {
	case frame.Ping, frame.Pong:
		t.add(Keepalive, 1, size)
	case frame.Open:
		var method string
		if _, err := strm.Decode(f.Body, &method); err == nil {
			methods[f.Stream] = method
		}
		t.add(methods[f.Stream], 1, size)
	case frame.Data:
		t.add(methods[f.Stream], min(1, len(f.Body)), size)
	case frame.Credit, frame.Reset, frame.Skip:
		t.add(methods[f.Stream], 0, size)
	default:
		t.add(Handshake, 1, size)
	}
}
