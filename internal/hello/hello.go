// Package hello is the handshake of a connection between two nodes: who is there, which version of the protocol
// both speak, and whether both know a shared secret.
//
// Why a shared secret and not TLS: the nodes of a site talk over that site's private network, so what has to be kept
// out is a process that ended up there by mistake: a node of another site, a test, a stray client. Hosts have no
// disks and are replaced at any time, so certificates would have to be issued to each start by a service the operators
// do not run, and each expiry would be one more way for a whole site to stop at once. A list of secrets comes with the
// settings a process has anyway and is rotated without a stop: give every node [old, new], then [new, old], then
// [new]; a node proves itself with its first secret and accepts any. What this does not give: bytes behind the
// handshake are neither secret nor protected against someone who can alter packets. Where a site needs that, its dial
// function and listener may hand over TLS connections; this package works the same on top of them.
//
// Order of frames: the dialler's Hello, the acceptor's Hello, the dialler's Proof, the acceptor's Proof. A side that
// gives up sends a Reject with its reason first. The dialler proves itself first, so a stranger who dials learns no
// MAC, and the acceptor's Proof tells the dialler that it was let in: no stream is opened before.
// A Proof covers both Hellos as they were sent, so nodes, addresses, versions and both fresh nonces are under the MAC:
// a recorded handshake cannot be replayed and nobody can talk two nodes into an older version.
package hello

import "github.com/ansel1/merry/v2"

// Versions of the protocol this release speaks.
const (
	Oldest = 1
	Newest = 1
)

// Sizes of a node that states none, in bytes.
const (
	defaultFrame  = 4 << 20
	defaultWindow = 256 << 10
)

var (
	// ErrVersion means that the two sides have no version in common.
	ErrVersion = merry.Sentinel("handshake: no common version")
	// ErrSecret means that a side could not show that it knows a secret of the other.
	ErrSecret = merry.Sentinel("handshake: wrong secret")
	// ErrProtocol means that the other side sent something else than the handshake's next frame.
	ErrProtocol = merry.Sentinel("handshake: unexpected frame")
	// ErrRejected means that the other side gave up; the message has its reason.
	ErrRejected = merry.Sentinel("handshake: rejected by the peer")
)

// Hello says who a node is. Fields may be added: an older release skips what it does not know.
//
// It has no field of bytes: msgpack makes room for as many bytes as the sender announces before it reads them, so a
// stranger could take gigabytes of a node with a frame of few bytes. Room for strings grows as they arrive.
type Hello struct {
	ID     string `msgpack:"id"`     // node id
	Epoch  string `msgpack:"epoch"`  // differs with each start of the node
	Addr   string `msgpack:"addr"`   // IP and port the node is reached at; empty where it serves none
	Dest   string `msgpack:"dest"`   // IP and port the dialler dialled; empty from the acceptor
	Min    int    `msgpack:"min"`    // oldest version it speaks
	Max    int    `msgpack:"max"`    // newest version it speaks
	Frame  int    `msgpack:"frame"`  // largest body of a frame it takes, in bytes
	Window int    `msgpack:"window"` // unread messages of a stream it holds, in bytes
	Nonce  string `msgpack:"nonce"`  // fresh for each handshake; set by Dial and Accept
}

// NewHello returns the Hello of a node of this release.
func NewHello(id, epoch string) Hello {
	return Hello{ID: id, Epoch: epoch, Min: Oldest, Max: Newest, Frame: defaultFrame, Window: defaultWindow}
}

// WithAddr returns a copy with the address the node is reached at.
func (h Hello) WithAddr(addr string) Hello {
	h.Addr = addr
	return h
}

// WithDest returns a copy with the address that was dialled.
func (h Hello) WithDest(addr string) Hello {
	h.Dest = addr
	return h
}

// WithSizes returns a copy that takes other sizes, in bytes; see its fields.
func (h Hello) WithSizes(frame, window int) Hello {
	h.Frame = frame
	h.Window = window
	return h
}

// WithVersions returns a copy that speaks another range of versions.
func (h Hello) WithVersions(oldest, newest int) Hello {
	h.Min = oldest
	h.Max = newest
	return h
}

// Common returns the newest version both sides speak, or ErrVersion.
func (h Hello) Common(other Hello) (int, error) {
	version := min(h.Max, other.Max)
	if version < max(h.Min, other.Min) {
		return 0, merry.Appendf(ErrVersion, "%d to %d here, %d to %d there", h.Min, h.Max, other.Min, other.Max)
	}
	return version, nil
}
