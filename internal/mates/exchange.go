package mates

import (
	"context"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/gossip"
	"damaskreach/internal/mate"
)

const (
	// exchangeTimeout bounds one request and its answer.
	exchangeTimeout = 800 * time.Millisecond
	// minBackoff and maxBackoff bound how long a host that didn't answer isn't used as a relay: otherwise hosts that are down
	// would be tried again and again while this host's messages wait.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// call is the state of the requests to one host.
type call struct {
	startedAt    time.Time // of the request in progress; zero if there is none
	backoffUntil time.Time // zero if not in backoff
	failures     int       // in a row
}

// beginCall reports whether a request to a host may be sent now: one at a time, so that a silent host blocks one goroutine only.
func (m *Mates) beginCall(ip string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.calls[ip]
	if !c.startedAt.IsZero() {
		return false
	}
	c.startedAt = now
	m.calls[ip] = c
	return true
}

func (m *Mates) exchange(ctx context.Context, to mate.Mate, relay bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sentAt := time.Now()
	g := m.Roster.Request(to.IP, relay, sentAt)
	m.Attach(to.IP, &g)
	answer, err := m.Send(ctx, to, g)
	if err == nil {
		m.update(withTransitAge(answer, time.Since(sentAt)), time.Now())
	}
	m.endCall(to.IP, err, time.Now())
}

// withTransitAge adds the time that an answer may have been in transit to the age of its read marks: a busy host may send it, or
// receive it, long after it was composed.
func withTransitAge(answer gossip.Gossip, transit time.Duration) gossip.Gossip {
	if answer.ReadMarks != nil {
		read := answer.ReadMarks.WithLater(transit)
		answer.ReadMarks = &read
	}
	return answer
}

// endCall records the outcome of a request.
func (m *Mates) endCall(ip string, err error, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.calls[ip]
	startedAt := c.startedAt
	c.startedAt = time.Time{}
	if err == nil {
		c.failures = 0
		c.backoffUntil = time.Time{}
	} else {
		c.backoffUntil = now.Add(min(maxBackoff, minBackoff<<min(c.failures, 7)))
		c.failures++
		m.Log.Info("relay does not answer", zap.String("host", ip), zap.Int("fails", c.failures),
			zap.Duration("waited", now.Sub(startedAt)), zap.Error(err))
	}
	m.calls[ip] = c
}
