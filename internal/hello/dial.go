package hello

import (
	"bufio"
	"io"
)

// Dial does the handshake of the side that dialled and returns the other side's Hello and the version to speak.
// It reads from r nothing behind the handshake's last frame but what r buffers. The caller bounds its time.
func Dial(r *bufio.Reader, w io.Writer, self Hello, secrets [][]byte) (Hello, int, error) {
	t := &talk{r: r, w: w, secrets: secrets}
	mine, err := t.greet(self)
	if err != nil {
		return Hello{}, 0, err
	}
	other, theirs, err := t.meet()
	if err != nil {
		return Hello{}, 0, err
	}
	version, err := self.Common(other)
	if err != nil {
		return Hello{}, 0, t.reject(err)
	}
	if err := t.prove(labelDialler, mine, theirs); err != nil {
		return Hello{}, 0, err
	}
	if err := t.check(labelAcceptor, mine, theirs); err != nil {
		return Hello{}, 0, err
	}
	return other, version, nil
}
