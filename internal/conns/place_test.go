package conns_test

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/conns"
	"damaskreach/internal/room"
)

// most is how many connections may be open.
const most = 16

// stalling is the connection of a caller that sends a byte whenever it is read from. It tells when nothing more is to be read from it.
type stalling struct {
	net.Conn
	drop func()
}

func (stalling) Read(p []byte) (int, error) { return 1, nil }

func (s stalling) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		go s.drop()
	}
	return nil
}

// Callers that stop short hold all places, and more than were meant to be held: each place was given away whose caller's first bytes came at that moment. If those that
// come later were turned away without asking any to leave, nobody else would get in until the deadlines of those that stay.
func TestPlaceIsMadeWhereMoreAreOpenThanWereMeantToBe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := conns.Conns{Room: room.NewRoom(1<<20, func() {}), Most: most}
		ready := make(chan net.Conn)
		l := c.Follow(once{ready: ready, closed: make(chan struct{})})
		defer l.Close()
		accepted := make(chan net.Conn)
		go func() {
			for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
				accepted <- conn
			}
		}()
		come := func(dropped func(near net.Conn)) (ok bool) {
			var near net.Conn
			raw, far := net.Pipe()
			t.Cleanup(func() { raw.Close(); far.Close() })
			ready <- stalling{raw, func() { dropped(near) }}
			synctest.Wait()
			select {
			case near = <-accepted:
				return true
			default:
				return false // closed at once
			}
		}
		begin := func(near net.Conn) { _, _ = near.Read(make([]byte, 1)) }
		crossing := true
		for come(func(near net.Conn) {
			if crossing {
				begin(near) // its first bytes come as it is to leave
				return
			}
			near.Close()
		}) {
			synctest.Wait()
		}
		crossing = false
		if got := c.Open(); got <= most {
			t.Fatalf("%d connections are open, want more than %d", got, most)
		}
		time.Sleep(time.Second)
		in := false
		for range 3 {
			in = in || come(func(near net.Conn) { near.Close() })
			time.Sleep(200 * time.Millisecond)
		}
		if !in {
			t.Errorf("none of three callers got a place while %d stall, want one", c.Open())
		}
	})
}
