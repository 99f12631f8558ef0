package peer

import "net"

// greet counts a connection whose far end has not proved yet that it is a peer. Where there are more than the bound, the one that has been silent for the longest time
// is closed: whoever reaches the port could otherwise take all descriptors of the process. met must be called at the end of the handshake.
func (m *Mesh) greet(nc net.Conn) (met func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	place := m.strangers.PushBack(nc)
	if first := m.strangers.Front(); m.strangers.Len() > m.bounds.Strangers {
		m.strangers.Remove(first)
		first.Value.(net.Conn).Close()
	}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.strangers.Remove(place)
	}
}
