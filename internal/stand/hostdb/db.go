// Package hostdb is a stand-in for the platform's host list, which lags and can be wrong.
package hostdb

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"damaskreach/internal/host"
	"damaskreach/internal/hosts"
	"damaskreach/internal/stand/gate"
)

// DB is a host list. Its methods may be called from several goroutines.
type DB struct {
	*gate.Gate

	mu     sync.Mutex
	events []event // oldest first
	lies   map[string]string
	lag    time.Duration
}

// event is a change of a host, at the time it truly took place.
type event struct {
	host host.Host
	at   time.Time
}

// NewDB returns an empty list without lag or faults.
func NewDB() *DB {
	return &DB{Gate: gate.NewGate(hosts.ErrFailed, hosts.ErrFailed), lies: map[string]string{}}
}

// Set records the true state of a host; the list shows it after the lag.
func (d *DB) Set(h host.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, event{h, time.Now()})
}

// SetLag sets how long the list takes to show a change, for past changes too.
func (d *DB) SetLag(lag time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lag = lag
}

// Lie makes the list show a host in a state whatever its true one; an empty state ends that.
// A host that the list does not show yet stays out of it.
func (d *DB) Lie(addr, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lies[addr] = state
}

// Hosts reaches the list in process, without a client name.
func (d *DB) Hosts() hosts.Hosts {
	return d.HostsFor("")
}

// HostsFor reaches the list in process as a client that CutClient can cut off.
func (d *DB) HostsFor(client string) hosts.Hosts {
	return hosts.Hosts{List: func(ctx context.Context) ([]host.Host, error) {
		return gate.Read(ctx, d.Gate, client, func() ([]host.Host, error) { return d.list(), nil })
	}}
}

// list returns what the list shows now, sorted by address.
func (d *DB) list() []host.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	edge := time.Now().Add(-d.lag)
	shown := map[string]host.Host{}
	for _, e := range d.events {
		if e.at.After(edge) {
			break
		}
		shown[e.host.Addr] = e.host
	}
	for addr, state := range d.lies {
		if h, ok := shown[addr]; ok && state != "" {
			shown[addr] = h.WithState(state)
		}
	}
	byAddr := func(a, b host.Host) int { return strings.Compare(a.Addr, b.Addr) }
	return slices.SortedFunc(maps.Values(shown), byAddr)
}
