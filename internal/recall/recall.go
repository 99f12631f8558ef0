// Package recall holds what a host answers when it is asked which build began a stream.
package recall

import (
	"slices"

	"damaskreach/internal/began"
)

// Recall is immutable.
type Recall struct {
	Began  began.Began `msgpack:"b"` // the zero value where the host does not know the stream
	Builds []string    `msgpack:"l"` // of the stream's group, as the host knows them now
}

// Knows reports whether the host knows which build of a group began the stream.
func (r Recall) Knows(group string) bool {
	return r.Began.Attempt != "" && r.Began.Group == group
}

// KnowsOnly reports whether the host knows a build of the group and no other.
func (r Recall) KnowsOnly(build string) bool {
	return slices.Equal(r.Builds, []string{build})
}
