package room

import "time"

// Take has a part hold more bytes. Where there is no room, callers that have stalled are dropped, and the part waits for theirs. It reports false where there is
// none in time.
func (p *Room) Take(bytes int64) bool {
	if p.TryTake(bytes) {
		return true
	}
	exit, ok := p.enter()
	if !ok {
		return false
	}
	defer exit()
	for until := time.Now().Add(patience); time.Now().Before(until); {
		p.all.mu.Lock()
		given := p.all.given
		p.all.mu.Unlock()
		p.dropStalled(bytes)
		if p.TryTake(bytes) {
			return true
		}
		wait := time.NewTimer(lookInterval)
		select {
		case <-given:
		case <-wait.C:
		}
		wait.Stop()
	}
	return p.TryTake(bytes)
}

// TryTake has a part hold more bytes where there is room at once.
func (p *Room) TryTake(bytes int64) bool {
	if p == nil {
		return true
	}
	p.all.mu.Lock()
	defer p.all.mu.Unlock()
	more := counted(p.held+bytes) - counted(p.held)
	limit := p.all.size
	if p.held+bytes > smallPart {
		limit -= limit / reservedShare
	}
	if more > 0 && p.all.taken+more > limit {
		return false
	}
	p.held += bytes
	p.all.taken += more
	return true
}

// enter has a part wait for room, which is no fault of its caller. ok is false where too many wait already.
func (p *Room) enter() (exit func(), ok bool) {
	p.all.mu.Lock()
	defer p.all.mu.Unlock()
	if p.all.queue >= maxWaiting {
		return nil, false
	}
	p.all.queue++
	waited := p.place != nil
	p.unqueue()
	return func() {
		p.all.mu.Lock()
		defer p.all.mu.Unlock()
		p.all.queue--
		if waited {
			p.queueUp()
		}
	}, true
}

// dropStalled drops callers that have stalled, those first that have sent nothing for the longest time, until so many bytes are being given back.
func (p *Room) dropStalled(bytes int64) {
	for _, victim := range p.stalled(bytes) {
		victim.end()
	}
}

// stalled returns parts whose callers have stalled and that hold so many bytes together, or all of them. They count as dropped.
func (p *Room) stalled(bytes int64) []*Room {
	p.all.mu.Lock()
	defer p.all.mu.Unlock()
	var victims []*Room
	for e := p.all.waiting.Front(); e != nil && bytes > 0; e = e.Next() {
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
func (p *Room) end() {
	p.all.noteDrop()
	p.drop()
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
