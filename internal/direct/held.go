package direct

import (
	"io"
	"time"
)

const (
	// heldFor is how long an answer must wait for its caller for its upstream to be taken to have given it up.
	heldFor = time.Second
	// heldAfter is how long after that the upstream's end may still come: what it had written before comes first.
	heldAfter = time.Second
)

// held is the body of an answer that notes when nothing was read from it for long, since its caller did not take what had been read.
type held struct {
	io.Reader
	read time.Time // when the newest read ended
	last time.Time // when the newest long pause before a read ended
}

// Read reads from the body.
func (h *held) Read(p []byte) (int, error) {
	now := time.Now()
	if !h.read.IsZero() && now.Sub(h.read) >= heldFor {
		h.last = now
	}
	n, err := h.Reader.Read(p)
	h.read = time.Now()
	return n, err
}

// excuses reports whether an upstream that breaks off now may have given up an answer that nobody took.
func (h *held) excuses() bool {
	return !h.last.IsZero() && time.Since(h.last) < heldAfter
}
