package peer

import "time"

// unused is how long a link without a connection is kept after it was last asked for.
const unused = 10 * time.Minute

// link returns the link of an address.
func (m *Mesh) link(addr string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.links[addr]
	if !ok {
		m.prune()
		l = &link{mesh: m, addr: addr, used: time.Now()}
		m.links[addr] = l
	}
	return l
}

// prune forgets links that nobody asked for in a long time. It needs the lock.
//
// Hosts are replaced all the time and new ones have new addresses: without it the map would grow as long as the
// process lives, and Down would report on hosts that are long gone.
func (m *Mesh) prune() {
	for addr, l := range m.links {
		// A link that is locked is in use.
		if !l.mu.TryLock() {
			continue
		}
		if l.conn == nil && l.dialing == nil && time.Since(l.used) > unused {
			delete(m.links, addr)
		}
		l.mu.Unlock()
	}
}

// Down reports whether the last dial of addr failed or its connection was cut and none has been made since.
// It starts the next dial when that is due, so that a caller who avoids addresses that are down finds them again.
func (m *Mesh) Down(addr string) bool {
	m.mu.Lock()
	l, ok := m.links[addr]
	m.mu.Unlock()
	if !ok || l.lastError() == nil {
		return false
	}
	// Only the start of a dial is wanted here.
	_, _, _ = l.look(false)
	return true
}
