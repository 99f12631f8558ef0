package intake

import (
	"sync"
	"time"
)

const (
	// absent is how long after the store's return an upstream is still used that vanished: registrations that lapsed with the store
	// are back within two seconds of its return. It ends at one moment for all: counted from when each was missed, one that
	// began to leave after the return would be used for a reading and these seconds more.
	absent = 2200 * time.Millisecond
	// away is by how much longer than the pause between two readings nobody must have read the store for it to count as having been away.
	away = 1500 * time.Millisecond
)

// outage tells when the store came back after it was away from all hosts that this one hears. Where it turns some away and serves others,
// nothing lapses; a host that took its own exclusion for an outage would use upstreams for longer that vanish after it. It may be
// used from several goroutines.
type outage struct {
	mu   sync.Mutex
	read time.Time // newest reading of any host
	back time.Time
}

// note takes that some host has read the store at a moment. It reports true where the store is back: it did not answer this host, and nobody
// had read it for the pause between two readings and some.
func (o *outage) note(at time.Time, lost bool, every time.Duration) (returned bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !at.After(o.read) {
		return false
	}
	returned = lost && !o.read.IsZero() && at.Sub(o.read) > every+away
	o.read = at
	if returned {
		o.back = time.Now()
	}
	return returned
}

// lost notes that the store is back without some of what it had acknowledged: registrations may be missing for having been written since.
func (o *outage) lost() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.back = time.Now()
}

// ends returns when upstreams that vanished with the store have had their time to come back.
func (o *outage) ends() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.back.Add(absent)
}
