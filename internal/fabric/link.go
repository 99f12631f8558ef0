package fabric

import "net"

const sizeBuffer = 64 << 10

// link carries the bytes of one connection.
type link struct {
	fabric    *Fabric
	near, far net.Conn // the inner ends of the two pipes
}

// connect returns the outer ends of a new link.
func (f *Fabric) connect() (near, far net.Conn) {
	near, nearInner := net.Pipe()
	far, farInner := net.Pipe()
	l := &link{fabric: f, near: nearInner, far: farInner}
	f.mu.Lock()
	f.links[l] = true
	f.mu.Unlock()
	go l.carry(nearInner, farInner)
	go l.carry(farInner, nearInner)
	return near, far
}

// carry copies one direction. What it read before a cut it writes after it.
func (l *link) carry(from, to net.Conn) {
	defer l.forget()
	buf := make([]byte, sizeBuffer)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		l.fabric.wait()
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (l *link) close() {
	l.near.Close()
	l.far.Close()
}

func (l *link) forget() {
	l.close()
	l.fabric.mu.Lock()
	defer l.fabric.mu.Unlock()
	delete(l.fabric.links, l)
}
