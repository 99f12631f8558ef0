package strm

// message is one that arrived and was not read.
type message struct {
	body []byte
	cost int // bytes it takes of the window
}

// queue holds messages in the order they arrived and reuses its memory.
type queue struct {
	items []message
	head  int
}

func (q *queue) push(m message) {
	q.items = append(q.items, m)
}

func (q *queue) pop() (message, bool) {
	if q.head == len(q.items) {
		return message{}, false
	}
	m := q.items[q.head]
	q.items[q.head] = message{}
	q.head++
	if q.head == len(q.items) {
		q.items = q.items[:0]
		q.head = 0
	}
	return m, true
}

func (q *queue) clear() {
	*q = queue{}
}
