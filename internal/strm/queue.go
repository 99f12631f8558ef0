package strm

import "bytes"

// keepQueue is the capacity up to which an empty queue keeps its memory: every open stream has one.
const keepQueue = 4 << 10

// queue holds copies of messages in the order they arrived and reuses its memory.
type queue struct {
	bytes []byte    // bodies, one behind the other; those before read have been taken
	read  int       // start of the first message
	items []message // from first on they wait
	first int
}

// message is one that arrived and was not read.
type message struct {
	size int // of its body
	cost int // bytes it takes of the window
}

func (q *queue) push(body []byte, cost int) {
	q.compact()
	q.bytes = append(q.bytes, body...)
	q.items = append(q.items, message{size: len(body), cost: cost})
}

// pop moves the oldest message of a queue that is not empty to buf and returns its cost.
func (q *queue) pop(buf *bytes.Buffer) int {
	m := q.items[q.first]
	buf.Write(q.bytes[q.read : q.read+m.size])
	q.read += m.size
	q.first++
	if q.empty() {
		q.reset()
	}
	return m.cost
}

func (q *queue) empty() bool {
	return q.first == len(q.items)
}

// compact drops the part that was read once it is the larger one.
//
// A reader that is always a little behind never empties the queue. Without this the queue would grow with the length
// of the stream, and long answers would fill the memory of the process.
func (q *queue) compact() {
	if q.first > 0 && q.first >= len(q.items)/2 && q.read >= len(q.bytes)/2 {
		q.bytes = q.bytes[:copy(q.bytes, q.bytes[q.read:])]
		q.items = q.items[:copy(q.items, q.items[q.first:])]
		q.read, q.first = 0, 0
	}
}

// reset empties the queue and keeps its memory unless a large message made it large.
func (q *queue) reset() {
	if cap(q.bytes) > keepQueue {
		q.clear()
		return
	}
	q.bytes, q.items = q.bytes[:0], q.items[:0]
	q.read, q.first = 0, 0
}

func (q *queue) clear() {
	*q = queue{}
}
