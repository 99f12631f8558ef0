package tenure

import "time"

// Fence returns the fencing token by which this host may give an engine an order now; false means that it may not.
func (t *Tenure) Fence(id string) (int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.own[id]
	if !ok || t.unsure || o.IP != t.IP || o.Epoch != t.epoch || t.left() < orderSlack {
		return 0, false
	}
	return o.Fence, true
}

// Held returns the token by which this host holds something now, and since when it has it: where it had it before this process began, since
// then, as its predecessor was dead by that time.
func (t *Tenure) Held(id string) (fence int64, since time.Duration, ok bool) {
	fence, ok = t.Fence(id)
	t.mu.Lock()
	defer t.mu.Unlock()
	return fence, t.own[id].since, ok
}

// Owner returns the IP of the host that gives an engine its orders, or an empty text where none is known.
func (t *Tenure) Owner(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.own[id].IP
}

// Mine returns the engines whose orders this host gives.
func (t *Tenure) Mine() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unsure || t.left() < orderSlack {
		return nil
	}
	var ids []string
	for id, o := range t.own {
		if o.IP == t.IP && o.Epoch == t.epoch {
			ids = append(ids, id)
		}
	}
	return ids
}
