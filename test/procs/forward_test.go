package procs_test

import (
	"net"
	"sync"
	"testing"
)

// forwarder passes connections on to an address until it is cut, for all who dial it or for one of them.
type forwarder struct {
	to string

	mu     sync.Mutex
	lis    net.Listener
	conns  map[net.Conn]string // IP of the dialler, by either end
	barred string              // IP of a dialler whose connections are silent
	held   int                 // times that something of it was held back
}

func newForwarder(t *testing.T, at, to string) *forwarder {
	t.Helper()
	f := &forwarder{to: to, conns: map[net.Conn]string{}}
	f.open(t, at)
	t.Cleanup(f.cut)
	return f
}

func (f *forwarder) open(t *testing.T, at string) {
	t.Helper()
	lis, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	f.lis = lis
	f.mu.Unlock()
	go f.serve(lis)
}

func (f *forwarder) serve(lis net.Listener) {
	for {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", f.to)
		if err != nil {
			_ = c.Close()
			continue
		}
		from := c.RemoteAddr().(*net.TCPAddr).IP.String()
		f.mu.Lock()
		f.conns[c], f.conns[out] = from, from
		f.mu.Unlock()
		go f.pass(out, c, from)
		go f.pass(c, out, from)
	}
}

// pass carries bytes until either end is closed. Those of a barred dialler are lost, as on a broken way between hosts:
// neither end is told.
func (f *forwarder) pass(to, from net.Conn, dialler string) {
	defer f.forget(to, from)
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if f.holds(dialler) {
			n = 0
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (f *forwarder) holds(dialler string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.barred != dialler {
		return false
	}
	f.held++
	return true
}

func (f *forwarder) forget(conns ...net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(f.conns, c)
	}
}

// bar silences a dialler's connections, those to come included; an empty IP ends that and breaks the silenced ones, in
// which bytes are missing.
func (f *forwarder) bar(ip string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, from := range f.conns {
		if ip == "" && from == f.barred {
			_ = c.Close()
		}
	}
	f.barred = ip
}

// felt reports whether something was held back.
func (f *forwarder) felt() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held > 0
}

// cut breaks all connections and takes no more.
func (f *forwarder) cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.lis.Close()
	for c := range f.conns {
		_ = c.Close()
	}
}
