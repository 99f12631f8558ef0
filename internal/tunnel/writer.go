package tunnel

import (
	"net"
	"sync"
	"time"
)

// settleTime is for how long nothing must have come from the other host for a connection's end to stand: pieces of a body that is being uploaded follow each other
// more closely.
const settleTime = 20 * time.Millisecond

// writer writes what another host sends to an upstream. The zero value has written nothing.
type writer struct {
	mu     sync.Mutex
	writes int       // calls that have not returned
	last   time.Time // when the last one did
	err    error     // of the one that failed
}

func (w *writer) write(c net.Conn, p []byte) error {
	w.mu.Lock()
	w.writes++
	w.mu.Unlock()
	_, err := c.Write(p)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes--
	w.last, w.err = time.Now(), err
	return err
}

// settle waits until nothing is written to an upstream that has ended its side, and returns why writing failed. Bytes that are on their way from the other host
// show whether the upstream still takes them.
func (w *writer) settle() error {
	for {
		w.mu.Lock()
		writes, last, err := w.writes, w.last, w.err
		w.mu.Unlock()
		if err != nil || writes == 0 && time.Since(last) >= settleTime {
			return err
		}
		time.Sleep(settleTime / 4)
	}
}
