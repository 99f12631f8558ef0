package peer

import "net"

// addPending counts a connection whose far end has not proved yet that it is a peer. Where there are more than the bound, the oldest of them is
// closed: whoever reaches the port could otherwise take all descriptors of the process. done must be called at the end of the handshake.
func (m *Mesh) addPending(nc net.Conn) (done func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	place := m.pending.PushBack(nc)
	if first := m.pending.Front(); m.pending.Len() > m.bounds.Pending {
		m.pending.Remove(first)
		first.Value.(net.Conn).Close()
	}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.pending.Remove(place)
	}
}
