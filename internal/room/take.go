package room

import "time"

// Take has a part hold more bytes. Where there is no room, callers that have stalled are dropped, and the part waits for theirs. It reports false where there is
// none in time.
func (r *Room) Take(bytes int64) bool {
	if r.TryTake(bytes) {
		return true
	}
	exit, ok := r.enter()
	if !ok {
		return false
	}
	defer exit()
	for until := time.Now().Add(maxTakeWait); time.Now().Before(until); {
		r.all.mu.Lock()
		given := r.all.given
		r.all.mu.Unlock()
		r.dropStalled(bytes)
		if r.TryTake(bytes) {
			return true
		}
		wait := time.NewTimer(lookInterval)
		select {
		case <-given:
		case <-wait.C:
		}
		wait.Stop()
	}
	return r.TryTake(bytes)
}

// TryTake has a part hold more bytes where there is room at once.
func (r *Room) TryTake(bytes int64) bool {
	if r == nil {
		return true
	}
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	more := counted(r.held+bytes) - counted(r.held)
	limit := r.all.size
	if r.held+bytes > smallPart {
		limit = r.all.largeSize()
	}
	if more > 0 && r.all.taken+more > limit {
		return false
	}
	r.held += bytes
	r.all.taken += more
	return true
}

// Keep has a part hold bytes beside the room until it leaves, where it keeps none yet and all parts together do not keep too many. Nobody is dropped for them.
func (r *Room) Keep(bytes int64) bool {
	if r == nil {
		return true
	}
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	if r.kept > 0 || r.all.kept+bytes > r.all.size/keepShare {
		return false
	}
	r.kept = bytes
	r.all.kept += bytes
	return true
}

// largeSize returns how many bytes large parts may take.
func (s *shared) largeSize() int64 { return s.size - s.size/reservedShare }

// enter has a part wait for room, which is no fault of its caller. ok is false where too many wait already.
func (r *Room) enter() (exit func(), ok bool) {
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	if r.all.queue >= maxTakers {
		return nil, false
	}
	r.all.queue++
	waited := r.place != nil
	r.unqueue()
	return func() {
		r.all.mu.Lock()
		defer r.all.mu.Unlock()
		r.all.queue--
		if waited {
			r.queueUp()
		}
	}, true
}

// dropStalled drops callers that have stalled, those first that have sent nothing for the longest time, until so many bytes are being given back.
func (r *Room) dropStalled(bytes int64) {
	for _, victim := range r.stalled(bytes) {
		victim.end()
	}
}

// stalled returns parts whose callers have stalled and that hold so many bytes together, or all of them. They count as dropped.
func (r *Room) stalled(bytes int64) []*Room {
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	var victims []*Room
	for e := r.all.waiting.Front(); e != nil && bytes > 0; e = e.Next() {
		other := e.Value.(*Room)
		if time.Since(other.since) < stallAfter {
			break
		}
		holds := counted(other.held)
		if holds == 0 {
			continue
		}
		bytes -= holds
		if !other.dropped {
			other.dropped = true
			victims = append(victims, other)
		}
	}
	return victims
}

// DropOne drops one caller of a group to make place for another connection: the one that has stalled in its request for the longest time, or else the one that has sent no
// request for the longest time. It reports false where there is none.
func (r *Room) DropOne(group any) bool {
	victim := r.oldest(group, func(p *Room) bool { return !p.idle && time.Since(p.since) >= stallAfter })
	if victim == nil {
		victim = r.oldest(group, func(p *Room) bool { return p.idle })
	}
	if victim == nil {
		return false
	}
	victim.end()
	return true
}

// end has the caller of a part dropped.
func (r *Room) end() {
	r.all.noteDrop()
	r.drop()
}

// oldest returns the part of a group that has waited for its caller for the longest time among those that match and were not dropped. It counts as dropped.
func (r *Room) oldest(group any, match func(p *Room) bool) *Room {
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	for e := r.all.waiting.Front(); e != nil; e = e.Next() {
		if p := e.Value.(*Room); p.group == group && !p.dropped && match(p) {
			p.dropped = true
			return p
		}
	}
	return nil
}
