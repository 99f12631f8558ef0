package tenure

import "time"

// learnTime is how long after a session has begun some hosts may not count it yet: the time between two reads, and one read.
const learnTime = readInterval + callTimeout

// CountedSince returns since when all other hosts count this one, by Clock; ok is false while they may not. What hosts divide among themselves by
// their number is a bound only while all of them count each other: a host that stood still or was cut off is not counted by those that went on, and they
// have taken its part.
//
// Others end a session only in its row and only after its lease, so that one which was renewed was never ended, whatever had become of the lease.
func (t *Tenure) CountedSince() (since time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.passiveSession {
		return t.countedAt, t.Clock()-t.heardAt < passiveTimeout
	}
	return t.countedAt, t.sessionLeft() > 0
}

// noteCounted records a renewal: from when on others count this host. One that begins no session continues that of the process before on this host, or this
// process's own. The caller holds the lock.
func (t *Tenure) noteCounted(begins, passive bool, sent time.Duration) {
	t.countedAt = max(t.countedAt, t.startedAt)
	if begins {
		t.countedAt = sent + learnTime
	}
	t.passiveSession = passive
}

// noteHeard records that this host hears from others. Those end a passive session, which is not renewed, once they have not heard from it for long.
func (t *Tenure) noteHeard() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hearsAnyone() {
		return
	}
	now := t.Clock()
	if t.passiveSession && now-t.heardAt >= passiveTimeout {
		t.countedAt = now + learnTime
	}
	t.heardAt = now
}

// hearsAnyone reports whether another host answered recently, or there is none.
func (t *Tenure) hearsAnyone() bool {
	alone := true
	for ip, h := range t.hosts {
		if ip == t.IP || h.Ended {
			continue
		}
		if t.Live(ip) {
			return true
		}
		alone = false
	}
	return alone
}
