package peer

import (
	"errors"
	"net"
	"syscall"
)

// temporary reports whether a listener may work again later.
func temporary(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return false
	}
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}
