package procs_test

import (
	"net"
	"sync"
	"testing"
)

// forwarder forwards connections to an address until it is cut, for all clients or for one of them.
type forwarder struct {
	to string

	mu     sync.Mutex
	lis    net.Listener
	conns  []dialled
	barred string // IP of a dialler whose connections are silent
	felt   bool   // something of it was held back
}

// dialled is one end of a connection, with the IP address of the client.
type dialled struct {
	net.Conn
	by string
}

func newForwarder(t *testing.T, at, to string) *forwarder {
	t.Helper()
	f := &forwarder{to: to}
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
		by := c.RemoteAddr().(*net.TCPAddr).IP.String()
		f.mu.Lock()
		f.conns = append(f.conns, dialled{c, by}, dialled{out, by})
		f.mu.Unlock()
		go f.pass(out, c, by)
		go f.pass(c, out, by)
	}
}

// pass copies bytes until either end is closed. Those of a barred client are dropped without an error at either end, as on a broken link between
// hosts.
func (f *forwarder) pass(to, from net.Conn, by string) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if err == nil && !f.holds(by) {
			_, err = to.Write(buf[:n])
		}
		if err != nil {
			return
		}
	}
}

func (f *forwarder) holds(by string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.felt = f.felt || f.barred == by
	return f.barred == by
}

// bar drops all bytes of a client's connections, also of later ones. An empty IP address ends that and closes these connections, since bytes are
// missing in them.
func (f *forwarder) bar(ip string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		if ip == "" && c.by == f.barred {
			_ = c.Close()
		}
	}
	f.barred, f.felt = ip, false
}

// feels reports whether any bytes were dropped since the last call of bar.
func (f *forwarder) feels() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.felt
}

// cut closes all connections and accepts no more.
func (f *forwarder) cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.lis.Close()
	for _, c := range f.conns {
		_ = c.Close()
	}
}
