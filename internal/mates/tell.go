package mates

import (
	"context"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/gossip"
	"damaskreach/internal/mate"
)

const (
	// tellFor bounds one message.
	tellFor = 800 * time.Millisecond
	// restLeast and restMost bound how long a host that gave no answer is not asked to be this host's relay: hosts that are
	// down would be asked again and again otherwise, each time while the others wait to be told.
	restLeast = 300 * time.Millisecond
	restMost  = 5 * time.Second
)

// call is how asking one host goes.
type call struct {
	since time.Time // of the question under way; zero where there is none
	until time.Time // it is left alone until then
	fails int       // in a row
}

// begin reports whether a message to a host may be sent now: one at a time, so that a silent host holds up one goroutine.
func (m *Mates) begin(ip string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.calls[ip]
	if !c.since.IsZero() {
		return false
	}
	c.since = now
	m.calls[ip] = c
	return true
}

func (m *Mates) tell(ctx context.Context, to mate.Mate, relay bool) {
	ctx, cancel := context.WithTimeout(ctx, tellFor)
	defer cancel()
	asked := time.Now()
	g := m.Roster.Ask(to.IP, relay, asked)
	m.Add(to.IP, &g)
	answer, err := m.Ask(ctx, to, g)
	if err == nil {
		m.take(older(answer, time.Since(asked)), time.Now())
	}
	m.ended(to.IP, err, time.Now())
}

// older returns an answer whose reading of the store is older by the time that the answer may have been on its way: a busy host may send it,
// or take it, long after it was put together.
func older(answer gossip.Gossip, way time.Duration) gossip.Gossip {
	if answer.Read != nil {
		read := answer.Read.WithLater(way)
		answer.Read = &read
	}
	return answer
}

// ended notes how a question ended.
func (m *Mates) ended(ip string, err error, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.calls[ip]
	began := c.since
	c.since = time.Time{}
	if err == nil {
		c.fails = 0
		c.until = time.Time{}
	} else {
		c.until = now.Add(min(restMost, restLeast<<min(c.fails, 7)))
		c.fails++
		m.Log.Info("relay does not answer", zap.String("host", ip), zap.Int("fails", c.fails), zap.Duration("waited", now.Sub(began)), zap.Error(err))
	}
	m.calls[ip] = c
}
