// Package mates keeps the hosts of a site in touch: each tells a relay several times a second how busy it is and what its
// engines hold, and hears from it of all others. It decides who speaks with whom; package roster what they say.
package mates

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/busy"
	"damaskreach/internal/gossip"
	"damaskreach/internal/mate"
	"damaskreach/internal/rhythm"
	"damaskreach/internal/roster"
	"damaskreach/internal/usage"
)

const (
	// tellFor bounds one message.
	tellFor = 800 * time.Millisecond
	// restLeast and restMost bound how long a host that gave no answer is not asked to be this host's relay: hosts that are
	// down would be asked again and again otherwise, each time while the others wait to be told.
	restLeast = 300 * time.Millisecond
	restMost  = 5 * time.Second
	// mostNamed is how many hosts a log line names.
	mostNamed = 8
)

// Mates may be used from several goroutines. Its fields are set before Run.
type Mates struct {
	Self   mate.Mate
	Hosts  func() map[string]mate.Mate // see tenure.Hosts
	Roster *roster.Roster
	// Own returns what this host tells of itself.
	Own func() (own busy.Busy, uses []usage.Usage, broke []string)
	// Add adds to a message what is not the roster's, and Hear takes it.
	Add  func(to string, g *gossip.Gossip)
	Hear func(g gossip.Gossip)
	// Ask sends a message to a host and returns what it answers.
	Ask func(ctx context.Context, to mate.Mate, g gossip.Gossip) (gossip.Gossip, error)
	Log *zap.Logger

	nudge chan struct{}

	// serving and living are as of the last message: a walk over all hosts for each caller that asks would cost more than its answer.
	serving atomic.Pointer[map[string]mate.Mate]
	living  atomic.Pointer[map[string]mate.Mate]

	mu      sync.Mutex
	rhythm  rhythm.Rhythm
	calls   map[string]call
	member  time.Time            // when a host last asked that is no relay
	relayed map[string]time.Time // when each relay last asked
}

// call is how asking one host goes.
type call struct {
	since time.Time // of the question under way; zero where there is none
	until time.Time // it is left alone until then
	fails int       // in a row
}

// NewMates returns a host that has not been in touch with any other.
func NewMates(self mate.Mate) *Mates {
	m := &Mates{
		Self: self, calls: map[string]call{}, relayed: map[string]time.Time{}, nudge: make(chan struct{}, 1), rhythm: rhythm.NewRhythm(0, 0),
	}
	m.serving.Store(&map[string]mate.Mate{})
	m.living.Store(&map[string]mate.Mate{})
	return m
}

// Answer takes what another host asks and returns what it is told.
func (m *Mates) Answer(g gossip.Gossip) gossip.Gossip {
	now := time.Now()
	m.asked(g, now)
	m.take(g, now)
	answer := m.Roster.Answer(g, now)
	m.Add(g.IP, &answer)
	return answer
}

func (m *Mates) asked(g gossip.Gossip, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g.Relay {
		m.relayed[g.IP] = now
	} else {
		m.member = now
	}
}

func (m *Mates) take(g gossip.Gossip, now time.Time) {
	m.Roster.Hear(g, now)
	m.Hear(g)
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
		m.serve(hosts, now)
		relay, partners := m.partners(hosts, now, nudged)
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

// Partners returns the hosts that this one tells and hears, and whether it speaks for others.
func (m *Mates) Partners() (relay bool, list []mate.Mate) {
	return m.partners(m.Hosts(), time.Now(), true)
}

// partners returns the hosts to tell now, and whether to tell them as a relay. Other relays that ask this one are left out, but where all are
// to know something at once.
func (m *Mates) partners(hosts map[string]mate.Mate, now time.Time, all bool) (relay bool, list []mate.Mate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	centres := map[string][]mate.Mate{m.Self.Centre: {m.Self}}
	var lost []mate.Mate
	for ip, h := range hosts {
		switch {
		case ip == m.Self.IP || m.resting(ip, now):
		case m.usable(ip, now):
			centres[h.Centre] = append(centres[h.Centre], h)
		default:
			lost = append(lost, h)
		}
	}
	for centre, here := range centres {
		slices.SortFunc(here, order)
		centres[centre] = here[:min(rhythm.Relays, len(here))]
	}
	own := centres[m.Self.Centre]
	relay = now.Sub(m.member) < m.rhythm.Silent() || slices.Contains(own, m.Self)
	if !relay {
		return false, own[m.half(len(own)):][:1]
	}
	for _, relays := range centres {
		for _, h := range relays {
			if h.IP != m.Self.IP && (all || !m.asks(h.IP, now)) {
				list = append(list, h)
			}
		}
	}
	if len(lost) > 0 {
		// Two parts of a site that were cut apart each take the other for lost, and neither would ask again. It is asked beside
		// those that answer and in place of none, so that a host that is down holds up nobody.
		list = append(list, slices.MinFunc(lost, order))
	}
	return true, list
}

func order(a, b mate.Mate) int {
	if a.Before(b) {
		return -1
	}
	return 1
}

// usable reports whether a host may be relied on as a relay: one that has answered, or that another one hears, or of which nobody
// knows anything yet.
func (m *Mates) usable(ip string, now time.Time) bool {
	if _, live := m.Roster.Find(ip, now); live {
		return true
	}
	return m.calls[ip].fails == 0 && !m.Roster.Gone(ip, now)
}

// resting reports whether a host is not asked at present, since it gave no answer.
func (m *Mates) resting(ip string, now time.Time) bool {
	c := m.calls[ip]
	return now.Before(c.until) || !c.since.IsZero() && now.Sub(c.since) > m.rhythm.Patience()
}

// half spreads hosts over so many relays.
func (m *Mates) half(relays int) int {
	sum := fnv.New32a()
	sum.Write([]byte(m.Self.IP))
	return int(sum.Sum32()>>8) % relays
}

// asks reports whether another relay asks this one at present, which tells both as much as the other way would. Where both have
// begun to, the one with the lower address goes on.
func (m *Mates) asks(ip string, now time.Time) bool {
	return ip < m.Self.IP && now.Sub(m.relayed[ip]) < m.rhythm.Every()*3/2
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
	c.since = time.Time{}
	if err == nil {
		c.fails = 0
		c.until = time.Time{}
	} else {
		c.until = now.Add(min(restMost, restLeast<<min(c.fails, 7)))
		c.fails++
		m.Log.Info("relay does not answer", zap.String("host", ip), zap.Int("fails", c.fails), zap.Error(err))
	}
	m.calls[ip] = c
}

// Live reports whether a host is alive.
func (m *Mates) Live(ip string) bool {
	_, live := m.Roster.Find(ip, time.Now())
	return live
}

// Oldest returns the age of the oldest word of a relay that counts.
func (m *Mates) Oldest() time.Duration {
	return m.Roster.Oldest(time.Now())
}

// Nudge sends the next messages at once.
func (m *Mates) Nudge() {
	select {
	case m.nudge <- struct{}{}:
	default:
	}
}

// Ordering reports whether a host is alive and may give orders.
func (m *Mates) Ordering(ip string) bool {
	b, live := m.Roster.Find(ip, time.Now())
	return live && !b.Lapsed
}

// Away reports whether a host says that the store does not answer it.
func (m *Mates) Away(ip string) bool {
	b, live := m.Roster.Find(ip, time.Now())
	return live && b.Away
}

// Serving returns the hosts, but for this one, that callers may be sent to. The map must not be changed.
func (m *Mates) Serving() map[string]mate.Mate {
	return *m.serving.Load()
}

// Living returns the hosts, but for this one, that are alive, also those that leave. The map must not be changed.
func (m *Mates) Living() map[string]mate.Mate {
	return *m.living.Load()
}

func (m *Mates) serve(hosts map[string]mate.Mate, now time.Time) {
	serving, living := make(map[string]mate.Mate, len(hosts)), make(map[string]mate.Mate, len(hosts))
	for ip, h := range hosts {
		b, live := m.Roster.Find(ip, now)
		if ip == m.Self.IP || !live {
			continue
		}
		living[ip] = h
		if !b.Leaving {
			serving[ip] = h
		}
	}
	m.serving.Store(&serving)
	m.living.Store(&living)
}
