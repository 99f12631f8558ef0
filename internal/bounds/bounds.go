// Package bounds holds the sizes and times that limit a connection between nodes.
package bounds

import "time"

// Bounds is immutable; its With methods return changed copies. Sizes are bytes.
type Bounds struct {
	Frame     int           // largest body of a frame
	Window    int           // unread messages a stream may hold here, beside one frame
	Credit    int           // unread messages a stream may hold at the peer; known after the handshake
	Queue     int           // frames a connection may hold that are not written yet
	Streams   int           // streams a peer may have open on one connection
	Pending   int           // connections that may be in their handshakes
	Interval  time.Duration // between keepalive pings
	Timeout   time.Duration // without a byte from the peer, or of a write, until the connection counts as cut
	Handshake time.Duration // for the whole handshake
	Grace     time.Duration // that handlers have to return when a connection is closed
	Dial      time.Duration // for one dial without its handshake
	Least     time.Duration // first pause after a failed dial
	Most      time.Duration // longest pause after failed dials
}

// NewBounds returns the defaults.
func NewBounds() Bounds {
	return Bounds{
		Frame:     4 << 20,
		Window:    256 << 10,
		Credit:    256 << 10,
		Queue:     256 << 10,
		Streams:   16 << 10,
		Pending:   512,
		Interval:  time.Second,
		Timeout:   3 * time.Second,
		Handshake: 3 * time.Second,
		Grace:     time.Second,
		Dial:      2 * time.Second,
		Least:     50 * time.Millisecond,
		Most:      2 * time.Second,
	}
}

// WithFrame returns a copy with another frame size.
func (b Bounds) WithFrame(size int) Bounds {
	b.Frame = size
	return b
}

// WithWindow returns a copy with another window.
func (b Bounds) WithWindow(size int) Bounds {
	b.Window = size
	return b
}

// WithPeer returns a copy that keeps to the peer's window and frame size too.
func (b Bounds) WithPeer(window, frame int) Bounds {
	b.Credit = window
	b.Frame = min(b.Frame, frame)
	return b
}

// WithPending returns a copy with another number of connections that may be in their handshakes.
func (b Bounds) WithPending(n int) Bounds {
	b.Pending = n
	return b
}

// WithStreams returns a copy with another number of streams.
func (b Bounds) WithStreams(n int) Bounds {
	b.Streams = n
	return b
}

// WithKeepalive returns a copy with another ping interval and timeout.
func (b Bounds) WithKeepalive(interval, timeout time.Duration) Bounds {
	b.Interval = interval
	b.Timeout = timeout
	return b
}

// WithBackoff returns a copy with other pauses between failed dials.
func (b Bounds) WithBackoff(least, most time.Duration) Bounds {
	b.Least = least
	b.Most = most
	return b
}
