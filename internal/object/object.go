// Package object is the only way to the platform's object store.
package object

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// MostData is the most bytes of one object.
const MostData = 64 << 20

var (
	// ErrAbsent means that no object has the name.
	ErrAbsent = merry.New("object: no such object")
	// ErrDown means that the store did not take the call: nothing was written.
	ErrDown = merry.New("object: store unavailable")
	// ErrLost means that the answer was lost: a Put may have taken effect, or may still do so and replace a newer one.
	ErrLost = merry.New("object: answer lost")
	// ErrInvalid means that the name is empty or the data too large: nothing was written.
	ErrInvalid = merry.New("object: invalid call")
)

// Object reaches the object store; each field is one of its operations.
type Object struct {
	// Put writes a whole object, replacing one of the same name.
	Put func(ctx context.Context, name string, data []byte) error
	// Get returns a whole object or ErrAbsent.
	Get func(ctx context.Context, name string) ([]byte, error)
}

// Check returns ErrInvalid where the store would reject a Put.
func Check(name string, data []byte) error {
	if name == "" {
		return merry.Append(ErrInvalid, "the name is empty")
	}
	if len(data) > MostData {
		return merry.Appendf(ErrInvalid, "%d bytes, at most %d are taken", len(data), MostData)
	}
	return nil
}
