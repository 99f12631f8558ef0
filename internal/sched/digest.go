package sched

import (
	"time"

	"damaskreach/internal/digest"
)

// Digest returns the load as other nodes are told it; the driver fills owner, address, fence and number.
func (s *Sched) Digest(now time.Time) digest.Digest {
	s.now = now
	d := digest.Digest{
		Runner:  s.runner.Name,
		Group:   s.runner.Group,
		Slots:   s.slots,
		Free:    s.free(),
		Batch:   s.batch,
		Running: len(s.running),
		Waiting: len(s.queue),
		Closed:  s.closed != "",
		Stuck:   s.blocked(now),
	}
	if m := s.victim(now); m != nil {
		d.Cheap = s.worth(now, m)
	}
	for _, m := range s.held {
		// Counted under a hold, they would bring requests for other models here that wait until it ends.
		if !s.hold && m.idle() && m.waiting == 0 {
			d.Idle++
		}
		switch {
		case m.open():
			d.Resident = append(d.Resident, m.name)
		case m.state == loading:
			d.Loading = append(d.Loading, m.name)
		}
	}
	return d
}
