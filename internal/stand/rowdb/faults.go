package rowdb

import (
	"time"

	"golang.org/x/time/rate"
)

type faults struct {
	down  bool
	slow  time.Duration
	lose  int
	lag   time.Duration
	every int // each every-th reading goes to the lagging replica
	turn  int // readings since the lag was set
	cut   map[string]bool
}

// SetDown makes the service refuse all calls; a call already in line loses its answer and has no effect.
func (d *DB) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.down = down
}

// SetSlow makes each call take that long: half before its effect and half after it.
// A caller that gives up early therefore cannot tell whether its write took effect, or still will.
func (d *DB) SetSlow(slow time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.slow = slow
}

// LoseAnswers makes the next n successful writes take effect and answer table.ErrLost.
func (d *DB) LoseAnswers(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.lose = n
}

// SetLag sends each every-th reading to a replica that is behind by lag, at most two minutes.
// With every above 1, successive readings go back and forth between old and new.
func (d *DB) SetLag(lag time.Duration, every int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.lag = min(lag, replicaHorizon)
	d.faults.every = max(every, 1)
	d.faults.turn = 0
}

// CutClient cuts a client off or connects it again; answers on their way to it are lost.
func (d *DB) CutClient(client string, cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.cut[client] = cut
}

// SetRates sets how many writes (transactions) and reads the service carries out in a second; 0 means no limit.
// Calls above the rate wait in line, in the order in which they came.
func (d *DB) SetRates(writes, reads int) {
	d.writes.SetLimit(limit(writes))
	d.reads.SetLimit(limit(reads))
}

func limit(perSecond int) rate.Limit {
	if perSecond <= 0 {
		return rate.Inf
	}
	return rate.Limit(perSecond)
}

// refuses reports whether a new call of the client gets no further than the door.
func (d *DB) refuses(client string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faults.down || d.faults.cut[client]
}

// loses reports whether the answer to a successful write is to be lost, and counts it.
func (d *DB) loses() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.faults.lose == 0 {
		return false
	}
	d.faults.lose--
	return true
}

func (d *DB) slowness() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faults.slow
}

func (d *DB) isDown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faults.down
}
