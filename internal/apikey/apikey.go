// Package apikey holds the keys by which callers prove which team they ask for. Only digests are kept, so that no log line, error or dump of
// a host's memory gives a key away.
package apikey

import "crypto/sha256"

// Key is immutable and can be compared: it holds the digest of a key. The zero value stands for no key.
type Key struct {
	digest [sha256.Size]byte
	given  bool
}

// NewKey returns the digest of a key; an empty text is no key.
func NewKey(text string) Key {
	if text == "" {
		return Key{}
	}
	return Key{digest: sha256.Sum256([]byte(text)), given: true}
}

// Given reports whether there is a key.
func (k Key) Given() bool {
	return k.given
}

// String says whether there is a key and nothing of it.
func (k Key) String() string {
	if k.given {
		return "key"
	}
	return "no key"
}
