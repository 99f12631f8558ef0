package hello

import (
	"bufio"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"damaskreach/internal/frame"
)

// limit bounds a frame of the handshake: its sender has proved nothing yet.
const limit = 4 << 10

// exchange is one side of a handshake.
type exchange struct {
	r       *bufio.Reader
	w       io.Writer
	secrets [][]byte
}

// sendHello sends a Hello with a fresh nonce and returns it as encoded.
func (e *exchange) sendHello(self Hello) ([]byte, error) {
	if len(e.secrets) == 0 {
		return nil, merry.Append(ErrSecret, "none is set here")
	}
	self.Nonce = newNonce()
	body, err := msgpack.Marshal(self)
	if err != nil {
		return nil, merry.Prepend(err, "encoding the hello")
	}
	return body, e.send(frame.Hello, body)
}

// readHello reads the other side's Hello and returns it decoded and as it was encoded.
func (e *exchange) readHello() (Hello, []byte, error) {
	body, err := e.expect(frame.Hello)
	if err != nil {
		return Hello{}, nil, err
	}
	var other Hello
	if err := msgpack.Unmarshal(body, &other); err != nil {
		return Hello{}, nil, merry.Appendf(ErrProtocol, "reading the hello: %v", err)
	}
	if len(other.Nonce) != sizeNonce {
		return Hello{}, nil, merry.Appendf(ErrProtocol, "nonce of %d bytes", len(other.Nonce))
	}
	if other.Frame <= 0 || other.Window <= 0 {
		return Hello{}, nil, merry.Appendf(ErrProtocol, "frames of %d bytes, window of %d", other.Frame, other.Window)
	}
	return other, body, nil
}

// sendProof sends the MAC made with the first secret.
func (e *exchange) sendProof(label string, dialler, acceptor []byte) error {
	return e.send(frame.Proof, mac(e.secrets[0], label, dialler, acceptor))
}

// checkProof reads the other side's MAC and compares it with those of all secrets.
func (e *exchange) checkProof(label string, dialler, acceptor []byte) error {
	got, err := e.expect(frame.Proof)
	if err != nil {
		return err
	}
	if !matchesAny(e.secrets, got, label, dialler, acceptor) {
		return ErrSecret
	}
	return nil
}

// reject tells the other side why the handshake ends and returns err.
func (e *exchange) reject(err error) error {
	// The handshake has failed already; that the reason cannot be sent adds nothing.
	_ = e.send(frame.Reject, []byte(err.Error()))
	return err
}

func (e *exchange) send(kind uint8, body []byte) error {
	_, err := e.w.Write(frame.Append(nil, frame.Frame{Kind: kind, Body: body}))
	return merry.Prepend(err, "handshake: writing")
}

func (e *exchange) expect(kind uint8) ([]byte, error) {
	f, err := frame.Read(e.r, limit)
	if err != nil {
		return nil, merry.Prepend(err, "handshake: reading")
	}
	if f.Kind == frame.Reject {
		return nil, merry.Appendf(ErrRejected, "%q", f.Body)
	}
	if f.Kind != kind {
		return nil, merry.Appendf(ErrProtocol, "kind %d in place of %d", f.Kind, kind)
	}
	return f.Body, nil
}
