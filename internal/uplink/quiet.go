package uplink

import (
	"errors"
	"net"

	"damaskreach/internal/peek"
)

// quiet reports whether an idle connection is open and holds no bytes. Bytes on it answer nothing that was asked: given
// to the next request they would reach the wrong caller. Connections of other kinds than the kernel's are taken for
// quiet; their answers are still matched by id.
func quiet(c net.Conn) bool {
	n, err := peek.Peek(c)
	return n == 0 && (err == nil || errors.Is(err, errors.ErrUnsupported))
}
