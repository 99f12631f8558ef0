// Package mates keeps the hosts of a site in touch: each sends its status and its engines' stocks to a relay several times a
// second and gets those of all others back. It decides which hosts exchange messages; package roster decides on their content.
package mates

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/gossip"
	"damaskreach/internal/mate"
	"damaskreach/internal/rhythm"
	"damaskreach/internal/roster"
	"damaskreach/internal/status"
	"damaskreach/internal/usage"
)

// maxLoggedHosts is how many hosts a log line names.
const maxLoggedHosts = 8

// Mates is safe for concurrent use. Its exported fields are set before Run.
type Mates struct {
	Self   mate.Mate
	Hosts  func() map[string]mate.Mate // see tenure.Hosts
	Roster *roster.Roster
	// OwnStatus returns this host's status, its use of engines and new broken requests.
	OwnStatus func() (own status.Status, uses []usage.Usage, broke []string)
	// Attach adds what the roster doesn't keep to a message for a host, and Observe handles it in a received message.
	Attach  func(to string, g *gossip.Gossip)
	Observe func(g gossip.Gossip)
	// Send sends a request to a host and returns its answer.
	Send func(ctx context.Context, to mate.Mate, g gossip.Gossip) (gossip.Gossip, error)
	Log  *zap.Logger

	nudge chan struct{}

	// The lists are as of the last round of messages: a walk over all hosts for each request of a caller would cost more than its answer.
	serving      atomic.Pointer[map[string]mate.Mate]
	connected    atomic.Pointer[map[string]mate.Mate]
	alive        atomic.Pointer[map[string]mate.Mate]
	higherRanked atomic.Pointer[[]mate.Mate]

	mu         sync.Mutex
	rhythm     rhythm.Rhythm
	calls      map[string]call
	lastMember time.Time            // when a host that is no relay last sent a request
	lastRelay  map[string]time.Time // when each relay last sent a request
}

// NewMates returns the Mates of a host that has exchanged no message yet.
func NewMates(self mate.Mate) *Mates {
	m := &Mates{
		Self: self, calls: map[string]call{}, lastRelay: map[string]time.Time{}, nudge: make(chan struct{}, 1), rhythm: rhythm.NewRhythm(0, 0),
	}
	m.serving.Store(&map[string]mate.Mate{})
	m.connected.Store(&map[string]mate.Mate{})
	m.alive.Store(&map[string]mate.Mate{})
	m.higherRanked.Store(&[]mate.Mate{})
	return m
}

// Run exchanges messages until ctx ends.
func (m *Mates) Run(ctx context.Context) {
	for nudged := false; ctx.Err() == nil; {
		now := time.Now()
		hosts := m.Hosts()
		times := m.updateRhythm(hosts)
		ownStatus, usages, breaks := m.OwnStatus()
		m.Roster.Report(ownStatus, usages, breaks, now)
		m.checkLiveness(times, now)
		living := m.Roster.Alive(now)
		m.updateLists(hosts, living)
		relay, partners := m.partners(hosts, living, now, nudged)
		for _, p := range partners {
			if m.beginCall(p.IP, now) {
				go m.exchange(ctx, p, relay)
			}
		}
		nudged = m.wait(ctx, times.Every())
	}
}

// updateRhythm derives the intervals from the current hosts.
func (m *Mates) updateRhythm(hosts map[string]mate.Mate) rhythm.Rhythm {
	centres := map[string]int{}
	largest := 0
	for _, h := range hosts {
		centres[h.Centre]++
		largest = max(largest, centres[h.Centre])
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rhythm = rhythm.NewRhythm(largest, len(centres))
	m.forget(hosts)
	return m.rhythm
}

// forget drops the state of hosts that are gone: hosts are replaced all the time, and each new one has another address.
func (m *Mates) forget(hosts map[string]mate.Mate) {
	for ip, c := range m.calls {
		if _, ok := hosts[ip]; !ok && c.startedAt.IsZero() {
			delete(m.calls, ip)
		}
	}
	for ip := range m.lastRelay {
		if _, ok := hosts[ip]; !ok {
			delete(m.lastRelay, ip)
		}
	}
}

func (m *Mates) checkLiveness(times rhythm.Rhythm, now time.Time) {
	reached, lost := m.Roster.CheckLiveness(times.Silent(), now)
	if len(reached) > 0 {
		m.Log.Info("hosts reached", zap.Int("count", len(reached)), zap.Strings("first", reached[:min(maxLoggedHosts, len(reached))]))
	}
	if len(lost) > 0 {
		m.Log.Info("hosts lost", zap.Int("count", len(lost)), zap.Strings("first", lost[:min(maxLoggedHosts, len(lost))]),
			zap.Duration("silent", times.Silent()))
	}
}

// Rhythm returns the current message interval and the times derived from it.
func (m *Mates) Rhythm() rhythm.Rhythm {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rhythm
}

// Nudge makes Run send the next messages at once.
func (m *Mates) Nudge() {
	select {
	case m.nudge <- struct{}{}:
	default:
	}
}

// wait waits for the next round of messages; nudged is true if Nudge ended it.
func (m *Mates) wait(ctx context.Context, d time.Duration) (nudged bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.nudge:
		return true
	}
	return false
}
