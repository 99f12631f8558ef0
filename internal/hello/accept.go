package hello

import (
	"bufio"
	"io"
)

// Accept does the handshake of the side that was dialled; see Dial.
func Accept(r *bufio.Reader, w io.Writer, self Hello, secrets [][]byte) (Hello, int, error) {
	t := &talk{r: r, w: w, secrets: secrets}
	other, theirs, err := t.meet()
	if err != nil {
		return Hello{}, 0, err
	}
	version, err := self.Common(other)
	if err != nil {
		return Hello{}, 0, t.reject(err)
	}
	mine, err := t.greet(self)
	if err != nil {
		return Hello{}, 0, err
	}
	if err := t.check(labelDialler, theirs, mine); err != nil {
		return Hello{}, 0, t.reject(err)
	}
	if err := t.prove(labelAcceptor, theirs, mine); err != nil {
		return Hello{}, 0, err
	}
	return other, version, nil
}
