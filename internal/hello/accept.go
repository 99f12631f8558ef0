package hello

import (
	"bufio"
	"io"
)

// Accept does the handshake of the side that was dialled; see Dial.
func Accept(r *bufio.Reader, w io.Writer, self Hello, secrets [][]byte) (Hello, int, error) {
	e := &exchange{r: r, w: w, secrets: secrets}
	other, theirs, err := e.readHello()
	if err != nil {
		return Hello{}, 0, err
	}
	version, err := self.Common(other)
	if err != nil {
		return Hello{}, 0, e.reject(err)
	}
	mine, err := e.sendHello(self)
	if err != nil {
		return Hello{}, 0, err
	}
	if err := e.checkProof(labelDialler, theirs, mine); err != nil {
		return Hello{}, 0, e.reject(err)
	}
	if err := e.sendProof(labelAcceptor, theirs, mine); err != nil {
		return Hello{}, 0, err
	}
	return other, version, nil
}
