package engine

import (
	"net"
	"sync"

	"github.com/ansel1/merry/v2"
)

// trackedConn is a connection that records whether any byte of the current request was written.
//
// A request counts as written before its first Write is passed on, because bytes that the local socket
// accepted may arrive even if Write then fails. When a call fails, seal blocks further writes and reads the
// flag in one step: a transport goroutine that still held the request could otherwise write it after the call
// was reported as not run, and the caller's retry would be a second execution.
// The current transport almost always waits for that goroutine, but does not guarantee it.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	began  bool
	sealed bool
}

// reset prepares the connection for its next request.
func (w *trackedConn) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.began = false
}

// seal blocks further writes and reports whether writing of the current request has begun.
func (w *trackedConn) seal() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sealed = true
	return w.began
}

// Write records that the request has begun and passes p on, unless the connection is sealed.
func (w *trackedConn) Write(p []byte) (int, error) {
	if !w.begin() {
		return 0, merry.New("writing to a connection whose request has failed")
	}
	return w.Conn.Write(p)
}

func (w *trackedConn) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sealed {
		return false
	}
	w.began = true
	return true
}
