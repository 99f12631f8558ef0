package hello_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"damaskreach/internal/frame"
	"damaskreach/internal/hello"
)

var (
	old   = []byte("the old secret")
	fresh = []byte("the new secret")
)

// side is what one node brings to a handshake, and what it gets.
type side struct {
	self    hello.Hello
	secrets [][]byte
	other   hello.Hello
	version int
	err     error
}

func newSide(id string, secrets ...[]byte) *side {
	return &side{self: hello.NewHello(id, id+" epoch"), secrets: secrets}
}

// meet runs a handshake over a pipe.
func meet(dialler, acceptor *side) {
	near, far := net.Pipe()
	shake(dialler, acceptor, near, far)
}

// shake runs a handshake over two ends; each side hangs up when it is done.
func shake(dialler, acceptor *side, near, far net.Conn) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer far.Close()
		acceptor.other, acceptor.version, acceptor.err = hello.Accept(bufio.NewReader(far), far, acceptor.self, acceptor.secrets)
	}()
	dialler.other, dialler.version, dialler.err = hello.Dial(bufio.NewReader(near), near, dialler.self, dialler.secrets)
	near.Close()
	<-done
}

func TestHandshakeTellsWhoIsThere(t *testing.T) {
	a, b := newSide("a", old), newSide("b", old)
	meet(a, b)
	if a.err != nil || b.err != nil {
		t.Fatalf("handshake: got %v, %v, want nil", a.err, b.err)
	}
	if a.other.ID != "b" || b.other.ID != "a" || a.other.Epoch != "b epoch" {
		t.Errorf("got %+v and %+v, want b and a", a.other, b.other)
	}
}

// A process of another site, or one with an old settings file, dials a node. It must not get in, and both sides'
// logs must say why.
func TestWrongSecretIsRefused(t *testing.T) {
	a, b := newSide("a", old), newSide("b", fresh)
	meet(a, b)
	if !errors.Is(b.err, hello.ErrSecret) || !errors.Is(a.err, hello.ErrRejected) {
		t.Errorf("got %v, %v, want ErrRejected, ErrSecret", a.err, b.err)
	}
	a, b = newSide("a"), newSide("b", old)
	meet(a, b)
	if !errors.Is(a.err, hello.ErrSecret) {
		t.Errorf("without a secret: got %v, want ErrSecret", a.err)
	}
}

// Operators replace the secret while nodes run: for a while some nodes prove themselves with the old one and some
// with the new one. No pair of neighbouring steps may lose contact.
func TestSecretsRotateWithoutAStop(t *testing.T) {
	steps := [][][]byte{{old}, {old, fresh}, {fresh, old}, {fresh}}
	for i := range steps[1:] {
		for _, pair := range [][2][][]byte{{steps[i], steps[i+1]}, {steps[i+1], steps[i]}} {
			a, b := newSide("a", pair[0]...), newSide("b", pair[1]...)
			meet(a, b)
			if a.err != nil || b.err != nil {
				t.Errorf("steps %d and %d: got %v, %v, want nil", i, i+1, a.err, b.err)
			}
		}
	}
}

// Two releases run side by side during an upgrade. They must speak the newest version both know, and releases too
// far apart must say so instead of misreading each other's frames.
func TestVersionsAreNegotiated(t *testing.T) {
	tests := []struct{ minA, maxA, minB, maxB, want int }{
		{1, 1, 1, 1, 1},
		{1, 2, 2, 3, 2},
		{2, 5, 1, 3, 3},
		{1, 1, 2, 3, 0},
		{4, 5, 2, 3, 0},
	}
	for _, test := range tests {
		a, b := newSide("a", old), newSide("b", old)
		a.self = a.self.WithVersions(test.minA, test.maxA)
		b.self = b.self.WithVersions(test.minB, test.maxB)
		meet(a, b)
		if test.want == 0 {
			if !errors.Is(b.err, hello.ErrVersion) || !errors.Is(a.err, hello.ErrRejected) {
				t.Errorf("%+v: got %v, %v, want ErrRejected, ErrVersion", test, a.err, b.err)
			}
			continue
		}
		if a.err != nil || b.err != nil || a.version != test.want || b.version != test.want {
			t.Errorf("%+v: got %d, %d, %v, %v", test, a.version, b.version, a.err, b.err)
		}
	}
}

// through runs a handshake over a middleman that forwards so many of the dialler's frames, changed by edit.
func through(a, b *side, n int, edit func(body []byte) []byte) {
	near, nearFar := net.Pipe()
	far, farNear := net.Pipe()
	go func() {
		defer farNear.Close()
		r := bufio.NewReader(nearFar)
		for range n {
			f, _ := frame.Read(r, 1<<20)
			if f.Kind == frame.Hello {
				f.Body = edit(f.Body)
			}
			farNear.Write(frame.Append(nil, f))
		}
	}()
	go func() {
		defer nearFar.Close()
		io.Copy(nearFar, farNear)
	}()
	shake(a, b, near, far)
}

// older returns an encoded hello that claims to know version 1 only.
func older(body []byte) []byte {
	var h hello.Hello
	if err := msgpack.Unmarshal(body, &h); err != nil {
		return nil
	}
	changed, _ := msgpack.Marshal(h.WithVersions(1, 1))
	return changed
}

// Someone between two nodes makes the dialler look older than it is, so that both fall back to a version with a known
// fault. The MAC covers the hellos as they were sent, so the handshake fails.
func TestChangedHelloIsRefused(t *testing.T) {
	a, b := newSide("a", old), newSide("b", old)
	a.self = a.self.WithVersions(1, 2)
	b.self = b.self.WithVersions(1, 2)
	through(a, b, 2, older)
	if !errors.Is(b.err, hello.ErrSecret) || a.err == nil {
		t.Errorf("got %v, %v, want both refused", a.err, b.err)
	}
}

// The connection breaks off between two frames of the handshake. Neither side may take the other for proved.
func TestCutHandshakeFailsAtBothSides(t *testing.T) {
	for n := range 2 {
		a, b := newSide("a", old), newSide("b", old)
		through(a, b, n, func(body []byte) []byte { return body })
		if a.err == nil || b.err == nil {
			t.Errorf("after %d frames: got %v, %v, want errors", n, a.err, b.err)
		}
	}
}

// A stranger without the secret dials a node and sends the node's own frames back to it. Both MACs would be right if
// they did not cover the role of their sender.
func TestEchoedHandshakeIsRefused(t *testing.T) {
	near, far := net.Pipe()
	go func() {
		io.Copy(far, far)
		far.Close()
	}()
	_, _, err := hello.Dial(bufio.NewReader(near), near, hello.NewHello("a", "1"), [][]byte{old})
	near.Close()
	if !errors.Is(err, hello.ErrSecret) {
		t.Errorf("got %v, want ErrSecret", err)
	}
}
