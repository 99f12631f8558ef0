package wire

import "damaskreach/internal/frame"

// keepBatch is the capacity up to which the outbox keeps a buffer that was written.
const keepBatch = 1 << 20

// outbox holds encoded frames until the writer takes them all at once. It is guarded by the connection's lock.
type outbox struct {
	pending []byte        // frames the writer has not taken
	spare   []byte        // a buffer to use next
	queued  int64         // bytes ever added
	written int64         // bytes the socket took
	room    chan struct{} // closed when the writer takes the frames; nil while nobody waits
}

func (o *outbox) add(f frame.Frame) {
	before := len(o.pending)
	o.pending = frame.Append(o.pending, f)
	o.queued += int64(len(o.pending) - before)
}

// withdraw makes the frame that was added at start one that the peer ignores; it returns false where the writer has
// taken it.
func (o *outbox) withdraw(start int64) bool {
	taken := o.queued - int64(len(o.pending))
	if start < taken {
		return false
	}
	frame.Withdraw(o.pending[start-taken:])
	return true
}

// take returns what is pending and lets those go on who wait for room.
func (o *outbox) take() []byte {
	batch := o.pending
	o.pending = o.spare[:0]
	o.spare = nil
	if o.room != nil {
		close(o.room)
		o.room = nil
	}
	return batch
}

// recycle takes back a buffer whose frames were written.
func (o *outbox) recycle(batch []byte) {
	if cap(batch) <= keepBatch {
		o.spare = batch
	}
}

// wait returns a channel that is closed when there is room again.
func (o *outbox) wait() <-chan struct{} {
	if o.room == nil {
		o.room = make(chan struct{})
	}
	return o.room
}
