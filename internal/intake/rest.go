package intake

import (
	"context"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/marks"
)

const (
	// restCheck is how often a host that lets another one read looks whether that one still does.
	restCheck = 200 * time.Millisecond
	// restLeast is how long it goes without a reading of its own, and restRow as much for each upstream: a list of many is paid for over a
	// longer time.
	restLeast = time.Minute
	restRow   = 200 * time.Millisecond
	// recent is how old the last reading of the operators' rows may be for a host to read for others: the wait for a change, and
	// the time in which a silent connection shows.
	recent = 3 * time.Second
)

// rest waits while another host reads, until that one knows of something newer that it does not pass on. Take takes what it does pass on
// and reports whether that was anything.
func (i *Intake) rest(ctx context.Context, wake <-chan struct{}, take func() bool) {
	if !i.Relaxed() {
		return
	}
	begun, most := time.Now(), max(restLeast, time.Duration(len(i.View().Targets))*restRow)
	timer := time.NewTicker(restCheck)
	defer timer.Stop()
	why := "nobody reads"
	for i.Relaxed() {
		if time.Since(begun) >= most {
			why = "long enough"
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-wake:
			if take() {
				continue
			}
			why = "woken"
		case <-timer.C:
			continue
		}
		break
	}
	i.Log.Info("rest ended", zap.String("why", why), zap.Duration("rested", time.Since(begun)))
}

// untilNext waits until registrations are to be read from the store, not before next, and takes those that other hosts pass on meanwhile.
func (i *Intake) untilNext(ctx context.Context, next time.Time) {
	if len(i.missing) > 0 {
		next = earlier(next, i.outage.ends())
	}
	i.sleep(ctx, next)
	if i.settled() {
		i.rest(ctx, i.targetWake, func() bool { return i.passedTargets() && i.settled() })
	}
}

// settled reports whether this host waits for nothing that it finds out by reading alone.
func (i *Intake) settled() bool {
	return len(i.missing)+len(i.copied.waits) == 0
}

// sleep waits until the next reading, no longer than until another host passes something on.
func (i *Intake) sleep(ctx context.Context, next time.Time) {
	woken := false
	for ctx.Err() == nil && time.Now().Before(next) {
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-i.targetWake:
			woken = true
		}
		timer.Stop()
		if i.passedTargets() {
			woken = false
		}
	}
	if woken {
		nudge(i.targetWake)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Covers reports whether this host has read as far as another one.
func (i *Intake) Covers(m marks.Marks) bool {
	return m.Conf <= i.confAt.Load() && m.Targets <= i.targetAt.Load()
}

// pause waits after a failed reading, no longer than until another host knows of something newer that it does not pass on, or tells that the
// store is back.
func (i *Intake) pause(ctx context.Context, wake <-chan struct{}, take func() bool) {
	timer := time.NewTimer(i.Pause())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-wake:
			if !take() {
				return
			}
		}
	}
}

// Wake ends the rest where another host has read something newer, or has read at all after nobody had: what lapsed with the store has its
// time from the store's return, which must not be noticed late.
func (i *Intake) Wake(m marks.Marks) {
	i.entered(max(m.Conf, m.Targets))
	age := time.Duration(m.Age) * time.Millisecond
	back := i.outage.note(time.Now().Add(-age), i.away.Load(), i.Every())
	i.confTold.Raise(m.Conf)
	if back || m.Conf > i.confAt.Load() {
		nudge(i.confWake)
	}
	if back || m.Targets > i.targetAt.Load() {
		nudge(i.targetWake)
	}
}

// WakeConf has this host take the operators' rows that another host has passed on.
func (i *Intake) WakeConf() {
	nudge(i.confWake)
}

// ConfRev returns the revision up to which this host has the operators' rows.
func (i *Intake) ConfRev() int64 {
	return i.confAt.Load()
}

func nudge(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Away reports whether the store did not answer the last reading.
func (i *Intake) Away() bool {
	return i.away.Load()
}

// ConfAge returns how long ago the operators' rows were last read, and whether they ever were.
func (i *Intake) ConfAge() (age time.Duration, ok bool) {
	return i.since(&i.confRead)
}

// Age returns how long ago this host last asked the store for the upstreams' registrations and was answered, and whether it ever was.
func (i *Intake) Age() (age time.Duration, ok bool) {
	return i.since(&i.targetRead)
}

// Marks returns the revisions of the newest changes read, and whether this host reads well enough to do it for others.
func (i *Intake) Marks() (m marks.Marks, ok bool) {
	age, read := i.Age()
	confAge, confRead := i.ConfAge()
	ok = read && age < recent && confRead && confAge < recent
	return marks.Marks{Conf: i.confMark.Load(), Targets: i.targetMark.Load(), Age: age.Milliseconds()}, ok
}
