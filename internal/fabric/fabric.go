// Package fabric is a network inside one process, for tests and the demonstration: listeners by address and
// connections over pipes that can be cut. It has no buffers and no latency and runs in testing/synctest bubbles.
package fabric

import (
	"context"
	"net"
	"sync"

	"github.com/ansel1/merry/v2"
)

// ErrRefused means that nobody listens at an address.
var ErrRefused = merry.Sentinel("fabric: connection refused")

// Fabric is one such network. Its methods may be called from several goroutines.
type Fabric struct {
	mu    sync.Mutex
	at    map[string]*listener
	links map[*link]bool
	gap   chan struct{} // not nil while cut; closed by Mend
}

// NewFabric returns a network without listeners.
func NewFabric() *Fabric {
	return &Fabric{at: make(map[string]*listener), links: make(map[*link]bool)}
}

// Listen returns a listener; it takes the place of an earlier one at the address, whose connections stay.
func (f *Fabric) Listen(addr string) net.Listener {
	l := &listener{addr: address(addr), conns: make(chan net.Conn), done: make(chan struct{})}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at[addr] = l
	return l
}

// Dial connects to the listener at addr.
func (f *Fabric) Dial(ctx context.Context, addr string) (net.Conn, error) {
	f.mu.Lock()
	l := f.at[addr]
	f.mu.Unlock()
	if l == nil {
		return nil, merry.Append(ErrRefused, addr)
	}
	near, far := f.connect()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
		near.Close()
		return nil, merry.Append(ErrRefused, addr)
	case <-ctx.Done():
		near.Close()
		return nil, context.Cause(ctx)
	}
}

// Connections returns how many are open.
func (f *Fabric) Connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.links)
}

// Cut stops all bytes without telling either side, as when a switch fails. Each connection still takes one write.
func (f *Fabric) Cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gap == nil {
		f.gap = make(chan struct{})
	}
}

// Mend ends a cut; what was on its way arrives.
func (f *Fabric) Mend() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gap != nil {
		close(f.gap)
		f.gap = nil
	}
}

// Break closes all connections, as when a host dies.
func (f *Fabric) Break() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for l := range f.links {
		l.close()
	}
}

// wait returns when there is no cut.
func (f *Fabric) wait() {
	f.mu.Lock()
	gap := f.gap
	f.mu.Unlock()
	if gap != nil {
		<-gap
	}
}
