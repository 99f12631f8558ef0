// Package mates keeps the hosts of a site in touch: each tells a relay several times a second how busy it is and what its
// engines hold, and hears from it of all others. It decides who speaks with whom; package roster what they say.
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

// mostNamed is how many hosts a log line names.
const mostNamed = 8

// Mates may be used from several goroutines. Its fields are set before Run.
type Mates struct {
	Self   mate.Mate
	Hosts  func() map[string]mate.Mate // see tenure.Hosts
	Roster *roster.Roster
	// Own returns what this host tells of itself.
	Own func() (own status.Status, uses []usage.Usage, broke []string)
	// Add adds to a message what is not the roster's, and Hear takes it.
	Add  func(to string, g *gossip.Gossip)
	Hear func(g gossip.Gossip)
	// Ask sends a message to a host and returns what it answers.
	Ask func(ctx context.Context, to mate.Mate, g gossip.Gossip) (gossip.Gossip, error)
	Log *zap.Logger

	nudge chan struct{}

	// serving, reaching and living are as of the last message: a walk over all hosts for each caller that asks would cost more than its answer.
	serving  atomic.Pointer[map[string]mate.Mate]
	reaching atomic.Pointer[map[string]mate.Mate]
	living   atomic.Pointer[map[string]mate.Mate]
	ahead    atomic.Pointer[[]mate.Mate]

	mu      sync.Mutex
	rhythm  rhythm.Rhythm
	calls   map[string]call
	member  time.Time            // when a host last asked that is no relay
	relayed map[string]time.Time // when each relay last asked
}

// NewMates returns a host that has not been in touch with any other.
func NewMates(self mate.Mate) *Mates {
	m := &Mates{
		Self: self, calls: map[string]call{}, relayed: map[string]time.Time{}, nudge: make(chan struct{}, 1), rhythm: rhythm.NewRhythm(0, 0),
	}
	m.serving.Store(&map[string]mate.Mate{})
	m.reaching.Store(&map[string]mate.Mate{})
	m.living.Store(&map[string]mate.Mate{})
	m.ahead.Store(&[]mate.Mate{})
	return m
}

// Run tells the relays until ctx ends.
func (m *Mates) Run(ctx context.Context) {
	for nudged := false; ctx.Err() == nil; {
		now := time.Now()
		hosts := m.Hosts()
		times := m.retime(hosts)
		own, uses, broke := m.Own()
		m.Roster.Note(own, uses, broke, now)
		m.look(times, now)
		living := m.Roster.Living(now)
		m.serve(hosts, living)
		relay, partners := m.partners(hosts, living, now, nudged)
		for _, p := range partners {
			if m.begin(p.IP, now) {
				go m.tell(ctx, p, relay)
			}
		}
		nudged = m.pause(ctx, times.Every())
	}
}

// retime derives the times from the hosts of now.
func (m *Mates) retime(hosts map[string]mate.Mate) rhythm.Rhythm {
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

// forget drops what is known of hosts that are gone: hosts are replaced all the time, and each new one has another address.
func (m *Mates) forget(hosts map[string]mate.Mate) {
	for ip, c := range m.calls {
		if _, ok := hosts[ip]; !ok && c.since.IsZero() {
			delete(m.calls, ip)
		}
	}
	for ip := range m.relayed {
		if _, ok := hosts[ip]; !ok {
			delete(m.relayed, ip)
		}
	}
}

func (m *Mates) look(times rhythm.Rhythm, now time.Time) {
	reached, lost := m.Roster.Look(times.Silent(), now)
	if len(reached) > 0 {
		m.Log.Info("hosts reached", zap.Int("count", len(reached)), zap.Strings("first", reached[:min(mostNamed, len(reached))]))
	}
	if len(lost) > 0 {
		m.Log.Info("hosts lost", zap.Int("count", len(lost)), zap.Strings("first", lost[:min(mostNamed, len(lost))]),
			zap.Duration("silent", times.Silent()))
	}
}

// Times returns how often hosts speak now, and what follows from it.
func (m *Mates) Times() rhythm.Rhythm {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rhythm
}

// Nudge sends the next messages at once.
func (m *Mates) Nudge() {
	select {
	case m.nudge <- struct{}{}:
	default:
	}
}

// pause waits for the next message; it reports true where there is something that others should know at once.
func (m *Mates) pause(ctx context.Context, d time.Duration) (nudged bool) {
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
