package hello

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
)

const (
	sizeNonce     = 32
	labelDialler  = "damaskreach dialler"
	labelAcceptor = "damaskreach acceptor"
)

func newNonce() string {
	nonce := make([]byte, sizeNonce)
	rand.Read(nonce)
	return string(nonce)
}

// mac covers the role of its sender and both Hellos as encoded.
//
// Without the role a peer could send a node's own Proof back to it and be let in without knowing a secret.
func mac(secret []byte, label string, dialler, acceptor []byte) []byte {
	h := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{[]byte(label), dialler, acceptor} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return h.Sum(nil)
}

// matchesAny reports whether one of the secrets gives the MAC.
func matchesAny(secrets [][]byte, got []byte, label string, dialler, acceptor []byte) bool {
	found := false
	for _, secret := range secrets {
		if hmac.Equal(got, mac(secret, label, dialler, acceptor)) {
			found = true
		}
	}
	return found
}
