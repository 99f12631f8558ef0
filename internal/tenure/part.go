package tenure

import (
	"maps"
	"time"

	"go.uber.org/zap"
)

// learnTime is how long after a session has begun some hosts may not count it yet: the time between two reads, and one read.
const learnTime = readInterval + callTimeout

// startTogether is for how long a process leaves a part that nobody has used to hosts that start at about the same time: those that begin their sessions after it
// has said that it uses the part have theirs much later.
const startTogether = 3 * time.Second

// partState is what a host's row says of its part of what all hosts divide by their number.
type partState uint8

const (
	partUnknown  partState = iota // the row was written by a program that doesn't say it
	partUnused                    // no process has used it
	partUsed                      // a process may use it or may have used it
	partReturned                  // the last process has used it and uses it no more
)

// part is what a process knows of its host's part. What hosts divide by their number is a bound only while all of them count each other, and while a process
// leaves alone what the last one on its host has used.
//
// A host says in its row that it uses its part before it does, and then reads the rows of all others: so it counts each host that began a session before. Another
// host that was seen not to use its part, after this host had begun its session, counts this one before it does.
type part struct {
	unused   bool            // no process on this host has used it
	from     time.Duration   // when this process may use it
	settled  bool            // the store has a row of this process
	fresh    bool            // this process may use it sooner if no other host can have used its own without counting this one
	first    int64           // revision of the first row after which that can be told, 0 while there is none
	doubtful map[string]bool // other hosts that may have used theirs without counting this one; nil before the rows were read behind first
	used     int64           // revision since which this process's row says that it uses the part, 0 while it doesn't
	taken    string          // what the last process had used when it returned it
	wanted   bool            // it was wanted once; a host that does not renew its session writes no row before
	returned bool            // this process uses it no more
	left     string          // what it had used by then
}

// Part reports whether this host may use its part of what all hosts divide by their number, and what its last process had used of it, as given to ReturnPart;
// that is empty after PartMemory. A host that stood still or was cut off is not counted by those that went on, and they have taken its part.
//
// Others end a session only in its row and only after its lease, so that one which was renewed was never ended, whatever had become of the lease.
func (t *Tenure) Part() (taken string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	if now-t.startedAt < t.PartMemory() {
		taken = t.part.taken
	}
	counted := t.sessionLeft() > 0
	if t.passiveSession {
		counted = now-t.heardAt < passiveTimeout
	}
	return taken, counted && t.mayUsePart(now) && !t.part.returned
}

// mayUsePart reports whether this process may use its host's part while the others count the host.
func (t *Tenure) mayUsePart(now time.Duration) bool {
	return now >= t.part.from && t.part.used > 0 && !t.partUnread()
}

// WantPart gets this host its part as soon as it may be used, where its row would not say so for its own sake.
func (t *Tenure) WantPart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.part.wanted {
		return
	}
	t.part.wanted = true
	if t.passiveSession {
		t.wakeUp()
	}
}

// ReturnPart makes this process use its host's part no more and tells the next one what was used of it.
func (t *Tenure) ReturnPart(used string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.part.returned, t.part.left = true, used
	t.wakeUp()
}

// partUnreturned reports whether this host's row does not say yet that its part is returned.
func (t *Tenure) partUnreturned() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.part.returned && t.mayUsePart(t.Clock())
}

// nextPart returns what this host's next row says of its part, given the row before, and what was used of a part that is returned. A part that this process still
// leaves alone for what the last one may have used counts as used, and is not returned: the next process, too, must leave it alone.
func (t *Tenure) nextPart(known hostRow, begins, passive bool) (state partState, taken string) {
	now := t.Clock()
	switch {
	case begins:
		t.part.unused = t.part.unused && (known.rev == 0 || !t.sessionVoid(known) && known.Part == partUnused)
	case t.part.returned && known.StartID == t.startID && (known.Part == partReturned || t.mayUsePart(now)):
		return partReturned, t.part.left
	case !t.part.settled:
		t.inheritPart(known)
	}
	if t.allCount() && now-t.startedAt >= startTogether {
		t.part.from = min(t.part.from, now)
	}
	if !begins && now >= t.part.from && (!passive || t.part.wanted) {
		t.part.unused = false
	}
	if t.part.unused {
		return partUnused, ""
	}
	return partUsed, ""
}

// inheritPart notes what becomes of the part of a host whose session this process continues.
func (t *Tenure) inheritPart(known hostRow) {
	t.part.unused, t.part.fresh = known.Part == partUnused, known.Part == partUnused
	t.part.from, t.part.taken = t.startedAt, ""
	switch known.Part {
	case partUsed:
		t.part.from += t.PartMemory()
	case partReturned:
		t.part.taken = known.Taken
	default:
		t.part.from += learnTime + t.PartMemory()
	}
}

// beginPart notes that this process has begun a session by a renewal that was sent at a time.
func (t *Tenure) beginPart(sent time.Duration) {
	t.part.from = sent + learnTime + t.PartMemory()
	t.part.fresh, t.part.first, t.part.doubtful = t.part.unused, 0, nil
	t.part.used, t.part.taken = 0, ""
}

// notePart records what this process's row, which the store has at a revision, says of the part.
func (t *Tenure) notePart(rev int64) {
	own := t.hosts[t.IP]
	if own.StartID != t.startID {
		return
	}
	t.part.settled = true
	if t.part.first == 0 {
		t.part.first = rev
	}
	used := own.Part == partUsed
	if used == (t.part.used > 0) {
		return
	}
	t.part.used = 0
	if used {
		t.part.used = rev
	}
	t.Log.Info("use of this host's part", zap.Bool("used", used), zap.Duration("in", max(0, t.part.from-t.Clock())), zap.Int64("revision", rev))
}

// partUnread reports whether all that keeps this host from using its part is that the rows of all hosts must be read before.
func (t *Tenure) partUnread() bool {
	return t.readRev < t.part.used && t.Clock() >= t.part.from
}

// allCount reports whether no other host can have used its part without counting this one.
func (t *Tenure) allCount() bool {
	return t.part.fresh && t.eraSettled && t.part.doubtful != nil && len(t.part.doubtful) == 0
}

// checkOthers notes, whenever rows were read, which hosts may have used their parts without counting this one.
func (t *Tenure) checkOthers() {
	if t.part.first == 0 || t.readRev < t.part.first {
		return
	}
	if t.part.doubtful == nil {
		t.part.doubtful = map[string]bool{}
		for ip := range t.hosts {
			t.part.doubtful[ip] = true
		}
		delete(t.part.doubtful, t.IP)
	}
	maps.DeleteFunc(t.part.doubtful, func(ip string, _ bool) bool { return t.hosts[ip].Part == partUnused })
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
		t.part.from, t.part.fresh = now+learnTime+t.PartMemory(), false
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
