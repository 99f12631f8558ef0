// Package marks holds how far a host has read the store, for hosts that let it read for them.
package marks

import "time"

// Marks are the revisions of the newest changes that matter to others. A host that knows of older ones reads for itself.
type Marks struct {
	Conf    int64 `msgpack:"c"` // of the operators' rows
	Targets int64 `msgpack:"t"` // of the upstreams: found, gone, restarted or leaving
	Age     int64 `msgpack:"a"` // of the last reading of the upstreams, in ms, when the marks were sent
	Fleet   int64 `msgpack:"f"` // of the rows of hosts: begun, ended, or an engine that changed hands
}

// WithLater returns the marks as of some time later.
func (m Marks) WithLater(d time.Duration) Marks {
	m.Age += d.Milliseconds()
	return m
}
