package sched

import (
	"time"

	"damaskreach/internal/digest"
)

// Digest returns the load that other nodes are told; the caller sets owner, address, fence and number.
func (s *Sched) Digest(now time.Time) digest.Digest {
	s.now = now
	d := digest.Digest{
		Runner:  s.runner.Name,
		Group:   s.runner.Group,
		Slots:   s.slots,
		Free:    s.freeSlots(),
		Batch:   s.batch,
		Running: len(s.running),
		Waiting: len(s.queue),
		Closed:  s.closeReason != "",
		Stuck:   s.isStuck(now),
	}
	if m := s.chooseVictim(now); m != nil {
		d.Cheap = s.evictionCost(now, m)
	}
	for _, m := range s.held {
		// Under a hold, other nodes would send requests here that wait until it ends.
		if !s.unloadsHeld && m.evictable() && m.waiting == 0 {
			d.Idle++
		}
		switch {
		case m.startable():
			d.Resident = append(d.Resident, m.name)
		case m.state == loading:
			d.Loading = append(d.Loading, m.name)
		}
	}
	return d
}
