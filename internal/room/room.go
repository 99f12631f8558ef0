// Package room bounds how many bytes callers' connections hold together.
//
// A caller that stops short of the end of its request would hold what it has sent until its deadline, which it chooses. Where there is no room left, those
// that have sent nothing for the longest time are dropped in favour of others; while there is room, nobody is.
package room

import (
	"container/list"
	"sync"
	"time"
)

const (
	// Free is how much a part may hold that counts for nothing, in bytes: a usual head and a short body.
	Free = 8 << 10
	// smallPart is the size of a part, in bytes, up to which it may use the room that is reserved for small ones.
	smallPart = 32 << 10
	// reservedShare is the part of the room that is reserved for small parts: one in so many bytes.
	reservedShare = 16
	// keepShare is how much parts may keep beside the room, all together: one byte for so many of it.
	keepShare = 4
	// stallAfter is how long a caller must have sent nothing to be dropped in favour of others.
	stallAfter = 500 * time.Millisecond
	// minProgress is how many bytes a caller must send to count as sending. Those that send single bytes hold their room as long as those that send none.
	minProgress = 1 << 10
	// maxTakeWait is how long a part waits for room, while others are being dropped or end, and maxTakers how many may wait.
	maxTakeWait = time.Second
	maxTakers   = 32
	// lookInterval is the time between two looks for callers that have stalled meanwhile.
	lookInterval = 100 * time.Millisecond
)

// Room is a number of bytes, or a part of them that one connection holds. It may be used from several goroutines. A nil Room bounds nothing.
type Room struct {
	all   *shared
	group any    // of a part
	drop  func() // of a part: has its caller dropped

	// Under the lock of all:
	held    int64
	kept    int64         // held until it leaves, beside the room
	place   *list.Element // among those that wait for their callers; nil where it does not
	idle    bool          // it waits for a request to begin
	since   time.Time     // when its caller last sent something
	sent    int64         // bytes that its caller has sent since
	dropped bool
}

// shared is what the parts of a room share.
type shared struct {
	noteDrop func()

	mu      sync.Mutex
	size    int64
	taken   int64
	kept    int64
	waiting *list.List    // parts that wait for their callers, the one that has waited longest first
	given   chan struct{} // closed and replaced when bytes are given back
	queue   int           // parts that wait for room
}

// NewRoom returns a room of a size in bytes; noteDrop is called for each caller that is dropped.
func NewRoom(size int64, noteDrop func()) *Room {
	return &Room{all: &shared{size: size, noteDrop: noteDrop, waiting: list.New(), given: make(chan struct{})}}
}

// Part returns a part of a room for a new connection of a group. Close must be called at its end; drop may be called at any time until then and must not block.
func (r *Room) Part(group any, drop func()) *Room {
	if r == nil {
		return nil
	}
	p := &Room{all: r.all, group: group, drop: drop}
	p.Wait()
	return p
}

// Taken returns how many bytes of the room are held.
func (r *Room) Taken() int64 {
	if r == nil {
		return 0
	}
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	return r.all.taken
}

// Wait gives back what a part holds of the room: its connection waits for a request.
func (r *Room) Wait() {
	if r == nil {
		return
	}
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	r.give(r.held)
	r.idle, r.dropped = true, false
	r.queueUp()
}

// Begin notes that bytes of a request have come.
func (r *Room) Begin() {
	if r == nil {
		return
	}
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	r.idle, r.dropped = false, false
	r.queueUp()
}

// Received notes that the caller has sent some bytes.
func (r *Room) Received(bytes int) {
	if r == nil {
		return
	}
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	r.sent += int64(bytes)
	if r.place != nil && r.sent >= minProgress {
		r.queueUp()
	}
}

// Complete notes that the request is whole: its caller is not waited for and will not be dropped. It reports false where that has happened already.
func (r *Room) Complete() (kept bool) {
	if r == nil {
		return true
	}
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	r.unqueue()
	return !r.dropped
}

// Dropped reports whether the part's caller was chosen to be dropped, and has not begun a request since.
func (r *Room) Dropped() bool {
	if r == nil {
		return false
	}
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	return r.dropped
}

// Close gives back what a part holds; its connection is closed.
func (r *Room) Close() {
	if r == nil {
		return
	}
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	r.unqueue()
	r.give(r.held)
	r.all.kept -= r.kept
	r.kept = 0
}

// Give gives back some of the bytes that a part holds.
func (r *Room) Give(bytes int64) {
	if r == nil {
		return
	}
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	r.give(bytes)
}

// queueUp makes the part the last of those that wait for their callers. It needs the lock.
func (r *Room) queueUp() {
	r.since, r.sent = time.Now(), 0
	if r.place == nil {
		r.place = r.all.waiting.PushBack(r)
		return
	}
	r.all.waiting.MoveToBack(r.place)
}

// unqueue needs the lock.
func (r *Room) unqueue() {
	if r.place == nil {
		return
	}
	r.all.waiting.Remove(r.place)
	r.place = nil
}

// give needs the lock.
func (r *Room) give(bytes int64) {
	before := counted(r.held)
	r.held = max(0, r.held-bytes)
	r.all.free(before - counted(r.held))
}

// free wakes the parts that wait for room. It needs the lock.
func (s *shared) free(bytes int64) {
	s.taken -= bytes
	if bytes == 0 || s.queue == 0 {
		return
	}
	close(s.given)
	s.given = make(chan struct{})
}

// counted returns how many bytes of the room a part takes that holds so many.
func counted(held int64) int64 { return max(0, held-Free) }
