package tenure

import (
	"math/rand/v2"
	"time"
)

const (
	// maxRenewInterval is the longest time between two renewals, with room for a few more within a lease.
	maxRenewInterval = 6 * time.Second
	// slowRenewal is how long a renewal takes where the store is overloaded.
	slowRenewal = 300 * time.Millisecond
	// intervalStep shortens the interval after each fast renewal and lengthens it after each that failed: one failure does not tell an
	// overloaded store from one that rejects some calls.
	intervalStep = 500 * time.Millisecond
	// maxRenewTimeout bounds one renewal; an answer counts as long as the lease lasts, but a silent connection must be noticed.
	maxRenewTimeout = 2500 * time.Millisecond
	// minRetryDelay is the shortest delay before a failed renewal is retried, on average.
	minRetryDelay = 200 * time.Millisecond
	// jitterShare is the part by which a delay varies at most, so that hosts that lost the store together do not return together.
	jitterShare = 0.1
)

// pace adapts the renewal interval to the load of the store. If all hosts kept their interval, and retried failures at once, an
// overloaded store would serve none of them.
type pace struct {
	interval time.Duration // between two renewals; 0 counts as renewInterval
}

// delay returns how long to wait after a successful renewal.
func (p *pace) delay() time.Duration {
	return jitter(max(renewInterval, p.interval))
}

// succeeded notes how long a renewal took. A slow one shows that the store is overloaded, so the interval grows to its maximum at
// once: if hosts backed off by steps, all of them would keep failing until then.
func (p *pace) succeeded(took time.Duration) {
	if took > slowRenewal {
		p.interval = maxRenewInterval
		return
	}
	p.interval = max(renewInterval, p.interval-intervalStep)
}

// failed notes a failed renewal and returns the delay before the next: a tenth to three tenths of the interval, and less the less of the lease is left, so
// that a store which has room for some serves those hosts first whose leases end first. What is shortest varies most: hosts that retry in step with the
// store's own transactions may find it full each time.
func (p *pace) failed(left time.Duration) time.Duration {
	p.interval = min(maxRenewInterval, max(renewInterval, p.interval)+intervalStep)
	wait := p.interval/10 + rand.N(p.interval/5)
	if left > 0 {
		wait = min(wait, time.Duration(left.Seconds()/Lease.Seconds()*float64(left/6)))
	}
	return max(wait, minRetryDelay/2+rand.N(minRetryDelay))
}

// renewTimeout returns how long a renewal may take where so much of the lease is left.
func renewTimeout(left time.Duration) time.Duration {
	return min(maxRenewTimeout, max(callTimeout, left/3))
}

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterShare + 2*jitterShare*rand.Float64()))
}
