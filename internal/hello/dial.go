package hello

import (
	"bufio"
	"io"
)

// Dial does the handshake of the side that dialled and returns the other side's Hello and the version to speak.
// It reads from r nothing behind the handshake's last frame but what r buffers. The caller bounds its time.
func Dial(r *bufio.Reader, w io.Writer, self Hello, secrets [][]byte) (Hello, int, error) {
	e := &exchange{r: r, w: w, secrets: secrets}
	mine, err := e.sendHello(self)
	if err != nil {
		return Hello{}, 0, err
	}
	other, theirs, err := e.readHello()
	if err != nil {
		return Hello{}, 0, err
	}
	version, err := self.Common(other)
	if err != nil {
		return Hello{}, 0, e.reject(err)
	}
	if err := e.sendProof(labelDialler, mine, theirs); err != nil {
		return Hello{}, 0, err
	}
	if err := e.checkProof(labelAcceptor, mine, theirs); err != nil {
		return Hello{}, 0, err
	}
	return other, version, nil
}
