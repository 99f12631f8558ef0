package engine

import (
	"net"
	"sync"

	"github.com/ansel1/merry/v2"
)

// wire is a connection that knows whether the request in progress has sent a byte.
//
// A request counts as written before its first Write is passed on, because a byte that the local
// socket accepted may arrive even when Write then fails. When a call fails, the wire is sealed in the
// same step in which it is asked: a transport goroutine that still held the request could otherwise write
// it after the call was reported as not run, and the caller's repeat would be a second execution.
// The present transport waits for that goroutine almost always; nothing in its contract promises it.
type wire struct {
	net.Conn

	mu     sync.Mutex
	began  bool
	sealed bool
}

// reset prepares the wire for its next request.
func (w *wire) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.began = false
}

// seal refuses further writes and reports whether the request in progress has begun to be written.
func (w *wire) seal() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sealed = true
	return w.began
}

// Write notes that the request has begun and passes p on, unless the wire is sealed.
func (w *wire) Write(p []byte) (int, error) {
	if !w.begin() {
		return 0, merry.New("writing to a connection that was given up")
	}
	return w.Conn.Write(p)
}

func (w *wire) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sealed {
		return false
	}
	w.began = true
	return true
}
