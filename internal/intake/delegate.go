package intake

import (
	"context"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/marks"
)

const (
	// delegationCheckInterval is how often a host that leaves reading to another checks whether that one still reads.
	delegationCheckInterval = 200 * time.Millisecond
	// A host reads for itself after the larger of minDelegationLimit and delegationPerUpstream for each upstream: a longer list costs the
	// store more, so it is read less often.
	minDelegationLimit    = time.Minute
	delegationPerUpstream = 200 * time.Millisecond
	// maxReaderAge is the oldest last reading with which a host may read for others: the wait for a change, and the time in which a
	// silent connection is detected.
	maxReaderAge = 3 * time.Second
)

// waitWhileDelegated waits while another host reads, until that host reports a change that it does not forward.
// ApplyForwarded applies forwarded changes and reports whether there were any.
func (i *Intake) waitWhileDelegated(ctx context.Context, wake <-chan struct{}, applyForwarded func() bool) {
	if !i.ReadDelegated() {
		return
	}
	begun, limit := time.Now(), max(minDelegationLimit, time.Duration(len(i.View().Targets))*delegationPerUpstream)
	timer := time.NewTicker(delegationCheckInterval)
	defer timer.Stop()
	reason := "no host reads"
	for i.ReadDelegated() {
		if time.Since(begun) >= limit {
			reason = "time limit"
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-wake:
			if applyForwarded() {
				continue
			}
			reason = "woken"
		case <-timer.C:
			continue
		}
		break
	}
	i.Log.Info("rest ended", zap.String("why", reason), zap.Duration("rested", time.Since(begun)))
}

// waitForNextReading waits until registrations must be read from the store, not before next, and applies forwarded ones meanwhile.
func (i *Intake) waitForNextReading(ctx context.Context, next time.Time) {
	if len(i.missing) > 0 {
		next = earlier(next, i.outage.graceEnd())
	}
	i.sleepUntil(ctx, next)
	if i.settled() {
		i.waitWhileDelegated(ctx, i.targetWake, func() bool { return i.applyForwardedTargets() && i.settled() })
	}
}

// settled reports whether no registration is missing or held back, which only a reading could resolve.
func (i *Intake) settled() bool {
	return len(i.missing)+len(i.heldBack.revs) == 0
}

// sleepUntil waits until next and applies registrations that other hosts forward meanwhile.
func (i *Intake) sleepUntil(ctx context.Context, next time.Time) {
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
		if i.applyForwardedTargets() {
			woken = false
		}
	}
	if woken {
		notify(i.targetWake)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Covers reports whether this host has read at least up to the marks of another one.
func (i *Intake) Covers(m marks.Marks) bool {
	return m.Conf <= i.confAt.Load() && m.Targets <= i.targetAt.Load()
}

// waitToRetry waits after a failed reading for the retry delay, or until another host reports a change that it does not forward, or that
// the store is back.
func (i *Intake) waitToRetry(ctx context.Context, wake <-chan struct{}, applyForwarded func() bool) {
	timer := time.NewTimer(i.RetryDelay())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-wake:
			if !applyForwarded() {
				return
			}
		}
	}
}

// ObserveMarks takes another host's marks. It triggers a reading where that host has read something newer, or is the first to read after
// an outage: the grace of registrations that expired with the store runs from the store's return, which must not be noticed late.
func (i *Intake) ObserveMarks(m marks.Marks) {
	i.observeEra(max(m.Conf, m.Targets))
	age := time.Duration(m.Age) * time.Millisecond
	back := i.outage.observeRead(time.Now().Add(-age), i.storeDown.Load(), i.ReadInterval())
	i.confReported.Raise(m.Conf)
	if back || m.Conf > i.confAt.Load() {
		notify(i.confWake)
	}
	if back || m.Targets > i.targetAt.Load() {
		notify(i.targetWake)
	}
}

// WakeConf makes this host apply the operators' rows that another host has forwarded.
func (i *Intake) WakeConf() {
	notify(i.confWake)
}

// ConfRev returns the revision up to which this host has applied the operators' rows.
func (i *Intake) ConfRev() int64 {
	return i.confAt.Load()
}

func notify(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// StoreDown reports whether the store did not answer the last reading of registrations.
func (i *Intake) StoreDown() bool {
	return i.storeDown.Load()
}

// ConfAge returns the time since the operators' rows were last read, and whether they ever were.
func (i *Intake) ConfAge() (age time.Duration, ok bool) {
	return i.ageOf(&i.confRead)
}

// Age returns the time since the start of the last successful reading of registrations, and whether there was one.
func (i *Intake) Age() (age time.Duration, ok bool) {
	return i.ageOf(&i.targetRead)
}

// Marks returns the revisions of the latest changes read, and whether this host's readings are recent enough to read for others.
func (i *Intake) Marks() (m marks.Marks, ok bool) {
	age, read := i.Age()
	confAge, confRead := i.ConfAge()
	ok = read && age < maxReaderAge && confRead && confAge < maxReaderAge
	return marks.Marks{Conf: i.confMark.Load(), Targets: i.targetMark.Load(), Age: age.Milliseconds()}, ok
}
