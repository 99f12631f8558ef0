// Package mates keeps the hosts of a site in touch: each tells the others several times a second how busy it is and what
// its engines hold, and asks them to load adapters.
package mates

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/gossip"
	"damaskreach/internal/peer"
	"damaskreach/internal/trust"
	"damaskreach/internal/want"
)

const (
	// tellEvery is the pause between two messages to one host. Counts a fifth of a second old still tell a busy runner from
	// an idle one, where a request runs for seconds.
	tellEvery = 200 * time.Millisecond
	// mostTold is how many messages a second a host sends; with more hosts each hears less often.
	mostTold = 100
	// tellFor bounds one message.
	tellFor = 800 * time.Millisecond
	// alive is how long a host that answered counts as alive: some messages may be lost, and a host that froze must leave
	// the answers to lookups within the time that callers take to try another address.
	alive = 1200 * time.Millisecond
)

const (
	methodTell  = "tell"
	methodAdmit = "admit"
)

// Mates may be used from several goroutines. Its fields are set before Run.
type Mates struct {
	Mesh  *peer.Mesh
	IP    string
	Hosts func() map[string][3]string // see tenure.Hosts
	Tell  func(to string) gossip.Gossip
	Hear  func(g gossip.Gossip)
	Admit func(ctx context.Context, w want.Want) error
	Log   *zap.Logger

	nudge   chan struct{}
	readers trust.Trust

	mu   sync.Mutex
	live map[string]mate
}

type mate struct {
	at      time.Time // of its last message or answer
	asked   bool      // a message to it is under way
	leaving bool
	lapsed  bool // it may give no orders
}

// Register takes what other hosts say. It belongs before the mesh serves.
func (m *Mates) Register() {
	m.live = map[string]mate{}
	m.nudge = make(chan struct{}, 1)
	peer.Answer(m.Mesh, methodTell, func(_ context.Context, _ string, g gossip.Gossip) (bool, error) {
		m.heard(g)
		m.Hear(g)
		return true, nil
	})
	peer.Answer(m.Mesh, methodAdmit, func(ctx context.Context, _ string, w want.Want) (string, error) {
		return want.Text(m.Admit(ctx, w)), nil
	})
}

func (m *Mates) heard(g gossip.Gossip) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.live[g.IP]
	if !old.leaving && g.Leaving {
		m.Log.Info("host leaves", zap.String("host", g.IP))
	}
	old.at = time.Now()
	old.leaving = g.Leaving
	old.lapsed = g.Lapsed
	age := time.Duration(-1)
	if g.Read != nil {
		age = time.Duration(g.Read.Age) * time.Millisecond
	}
	m.readers.Note(g.IP, age, old.at)
	m.live[g.IP] = old
}

// Run tells the other hosts until ctx ends.
func (m *Mates) Run(ctx context.Context) {
	for ctx.Err() == nil {
		hosts := m.Hosts()
		for ip, addrs := range hosts {
			if ip != m.IP && m.begin(ip) {
				go m.tell(ctx, ip, addrs[0])
			}
		}
		m.pause(ctx, every(len(hosts)))
	}
}

// every returns the pause between two messages to one host.
func every(hosts int) time.Duration {
	return max(tellEvery, time.Duration(hosts)*time.Second/mostTold)
}

// Every returns the same for the hosts of now.
func (m *Mates) Every() time.Duration {
	return every(len(m.Hosts()))
}

func (m *Mates) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.nudge:
	}
}

// begin reports whether a message to a host may be sent now: one at a time, so that a silent host holds up one goroutine.
func (m *Mates) begin(ip string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.live[ip]
	if old.asked {
		return false
	}
	old.asked = true
	m.live[ip] = old
	return true
}

func (m *Mates) tell(ctx context.Context, ip, addr string) {
	ctx, cancel := context.WithTimeout(ctx, tellFor)
	defer cancel()
	var ok bool
	err := m.Mesh.Ask(ctx, addr, methodTell, m.Tell(ip), &ok)
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.live[ip]
	old.asked = false
	was := time.Since(old.at) < alive
	if err == nil {
		if !was {
			m.Log.Info("host reached", zap.String("host", ip))
		}
		old.at = time.Now()
	} else if was && time.Since(old.at) > alive/2 {
		m.Log.Info("host does not answer", zap.String("host", ip), zap.Duration("silent", time.Since(old.at)), zap.Error(err))
	}
	m.live[ip] = old
}

// Live reports whether a host answered a moment ago.
func (m *Mates) Live(ip string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.live[ip].at) < alive
}

// Oldest returns how long ago the host was heard that was heard longest ago, of those that count as alive.
func (m *Mates) Oldest() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	oldest := time.Duration(0)
	for _, known := range m.live {
		if age := time.Since(known.at); age < alive {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// Reads reports whether some other host has read the store for others within the limit.
func (m *Mates) Reads(limit time.Duration) bool {
	return m.readers.Fresh(limit, time.Now())
}

// Nudge sends the next messages at once.
func (m *Mates) Nudge() {
	select {
	case m.nudge <- struct{}{}:
	default:
	}
}

// Ordering reports whether a host answered a moment ago and may give orders.
func (m *Mates) Ordering(ip string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.live[ip]
	return time.Since(known.at) < alive && !known.lapsed
}

// Serving returns the hosts, but for this one, that callers may be sent to.
func (m *Mates) Serving() map[string][3]string {
	hosts := m.Hosts()
	m.mu.Lock()
	defer m.mu.Unlock()
	for ip := range hosts {
		known := m.live[ip]
		if ip == m.IP || known.leaving || time.Since(known.at) >= alive {
			delete(hosts, ip)
		}
	}
	return hosts
}

// AskAdmit asks the host that orders an engine to have an adapter loaded, and returns once a prompt may be sent.
func (m *Mates) AskAdmit(ctx context.Context, ip string, w want.Want) error {
	var text string
	if err := m.Mesh.Ask(ctx, m.Hosts()[ip][0], methodAdmit, w, &text); err != nil {
		return err
	}
	return want.FromText(text)
}
