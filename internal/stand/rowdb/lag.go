package rowdb

import (
	"sort"
	"time"
)

const replicaHorizon = 2 * time.Minute // how far behind a lagging replica can be

// replica is one that answers readings with an older state.
type replica struct {
	lag   time.Duration
	every int // each every-th reading goes to it
	turn  int // readings since the lag was set
}

// SetLag sends each every-th reading to a replica that is behind by lag, at most two minutes.
// With every above 1, successive readings go back and forth between old and new.
func (d *DB) SetLag(lag time.Duration, every int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replica = replica{lag: min(lag, replicaHorizon), every: max(every, 1)}
}

// visible returns the revision that the replica which takes this reading has reached.
func (d *DB) visible() int64 {
	if d.replica.lag == 0 {
		return d.rev
	}
	d.replica.turn++
	if d.replica.turn%d.replica.every != 0 {
		return d.rev
	}
	edge := time.Now().Add(-d.replica.lag)
	later := sort.Search(len(d.times), func(i int) bool { return d.times[i].at.After(edge) })
	if later > 0 {
		return d.times[later-1].rev
	}
	if len(d.times) == 0 {
		return d.rev
	}
	return d.times[0].rev - 1
}
