package tenure

import (
	"iter"
	"time"
)

// Fence returns the fencing token by which this host may give an engine an order now; false means that it may not.
func (t *Tenure) Fence(id string) (int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fence, _, ok := t.held(id, 0)
	return fence, ok
}

// held returns the claim by which this host holds something now, or did until its lease ended so long ago at most.
func (t *Tenure) held(id string, beyond time.Duration) (fence int64, since time.Duration, ok bool) {
	if t.idles(id) {
		return 0, 0, false
	}
	if k, ok := t.still(id, t.Clock()); ok {
		return k.fence, k.since, true
	}
	o, ok := t.own[id]
	if !ok || t.unsure || o.Freed != "" || o.IP != t.IP || o.Epoch != t.epoch || t.claimLeft(o)+beyond < orderSlack {
		return 0, 0, false
	}
	return o.Fence, o.since, true
}

// Counts returns the token by which this host counts a part of teams' limits, and since when it has it: where it had it before this process began,
// since then, as its predecessor was dead by that time. It goes on beyond its lease for as long as nobody else can have got the part: the time that orders
// of two hosts must lie apart need not be kept free of counting.
func (t *Tenure) Counts(part string) (fence int64, since time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held(part, t.Turn())
}

// Owner returns the IP of the host that gives an engine its orders, or an empty text where none is known.
func (t *Tenure) Owner(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.still(id, t.Clock()); ok {
		return t.IP
	}
	if o := t.own[id]; o.Freed == "" {
		return o.IP
	}
	return ""
}

// Mine returns the engines whose orders this host gives.
func (t *Tenure) Mine() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id := range t.kept {
		if _, ok := t.still(id, t.Clock()); ok && !t.idles(id) {
			ids = append(ids, id)
		}
	}
	if t.unsure || t.left() < orderSlack {
		return ids
	}
	for id, o := range t.claimed() {
		if t.claimLeft(o) >= orderSlack && !t.idles(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// idles reports whether this host gives an engine no orders although it holds it.
func (t *Tenure) idles(id string) bool {
	return t.yielded[id] || t.Blocked != nil && t.Blocked(id)
}

// claimed returns the engines whose rows name this host in its session of now.
func (t *Tenure) claimed() iter.Seq2[string, owned] {
	return func(yield func(string, owned) bool) {
		for id := range t.named {
			if o := t.own[id]; o.Epoch == t.epoch && o.Freed == "" && !yield(id, o) {
				return
			}
		}
	}
}
