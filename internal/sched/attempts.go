package sched

const maxRecentAttempts = 8192

// recent remembers the latest attempts, so that a repeated submit is not started twice.
type recent struct {
	names map[string]bool
	ring  []string
	next  int
}

func newRecent() *recent {
	return &recent{names: map[string]bool{}, ring: make([]string, maxRecentAttempts)}
}

// add remembers an attempt and reports whether it is new.
func (r *recent) add(attempt string) bool {
	if r.names[attempt] {
		return false
	}
	delete(r.names, r.ring[r.next])
	r.ring[r.next] = attempt
	r.names[attempt] = true
	r.next = (r.next + 1) % len(r.ring)
	return true
}
