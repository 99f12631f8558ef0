package intake

import (
	"sync"
	"time"
)

const (
	// registerGrace is how long after the store's return a vanished upstream is still used: registrations that expired with the store
	// are back within two seconds. It ends for all at once: counted from when each was missed, an upstream that began to drain after
	// the return would be used for a reading and these seconds more.
	registerGrace = 2200 * time.Millisecond
	// outageMargin is the time beyond the read interval without a reading by any host that counts as an outage of the store.
	outageMargin = 1500 * time.Millisecond
)

// outage detects when the store returns after no host known to this one could read it. If the store refuses only some hosts, nothing
// expires; a host that took that for an outage would use upstreams that vanish after it for longer. It is safe for concurrent use.
type outage struct {
	mu         sync.Mutex
	lastRead   time.Time // latest reading of any host
	returnedAt time.Time
}

// observeRead notes when some host read the store. It reports true where an outage has ended: the store did not answer this host, and no
// host had read it for the read interval plus outageMargin.
func (o *outage) observeRead(readAt time.Time, unanswered bool, interval time.Duration) (returned bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !readAt.After(o.lastRead) {
		return false
	}
	returned = unanswered && !o.lastRead.IsZero() && readAt.Sub(o.lastRead) > interval+outageMargin
	o.lastRead = readAt
	if returned {
		o.returnedAt = time.Now()
	}
	return returned
}

// recordRestore notes that the store is back without some acknowledged writes: registrations written since the backup may be missing.
func (o *outage) recordRestore() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.returnedAt = time.Now()
}

// graceEnd returns when upstreams that vanished with the store have had their time to register again.
func (o *outage) graceEnd() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.returnedAt.Add(registerGrace)
}
