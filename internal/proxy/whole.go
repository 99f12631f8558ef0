package proxy

import (
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

const (
	// maxAnswerBytes is the largest answer that is buffered.
	maxAnswerBytes = 8 << 20
	// firstPiece and nextPiece are the sizes of the pieces in which a text of unknown length is read, in bytes.
	firstPiece = 2 << 10
	nextPiece  = 32 << 10
	// freeAnswer is how many bytes of an answer need no room, so that short ones are served while upstreams in trouble send long ones.
	freeAnswer = 32 << 10
)

var (
	errTooLarge = merry.Sentinel("proxy: the text is too large")
	errNoRoom   = merry.Sentinel("proxy: too many bytes are held")
)

// pieces is a text that was read in pieces. A buffer that doubles as it grows would hold up to three times the text.
type pieces struct {
	list [][]byte
	size int64
	held int64 // bytes of room that it takes
}

// join returns the text as one, which takes as much again until the pieces are dropped.
func (p pieces) join() []byte {
	if len(p.list) == 1 {
		return p.list[0]
	}
	data := make([]byte, 0, p.size)
	for _, piece := range p.list {
		data = append(data, piece...)
	}
	return data
}

// write writes the text.
func (p pieces) write(w io.Writer) error {
	for _, piece := range p.list {
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

// readAnswer reads an answer to its end. Its room is held until release is called.
func (p *Proxy) readAnswer(body io.Reader) (text pieces, release func(), err error) {
	taken := int64(0)
	read := int64(0)
	text, err = readPieces(body, maxAnswerBytes, func(bytes int64) bool {
		read += bytes
		more := max(0, read-freeAnswer) - taken
		if more > 0 && !p.AnswerRoom.TryAcquire(more) {
			return false
		}
		taken += more
		return true
	})
	return text, func() { p.AnswerRoom.Release(taken) }, err
}

// readPieces reads a text of unknown length to its end, and takes room for each piece before it is read.
func readPieces(text io.Reader, limit int64, take func(bytes int64) bool) (pieces, error) {
	var p pieces
	for next := int64(firstPiece); ; next = nextPiece {
		if !take(next) {
			return p, merry.Wrap(errNoRoom)
		}
		p.held += next
		piece := make([]byte, next)
		n, err := fill(text, piece)
		p.list, p.size = append(p.list, piece[:n]), p.size+int64(n)
		switch {
		case p.size > limit:
			return p, merry.Wrap(errTooLarge)
		case errors.Is(err, io.EOF):
			return p, nil
		case err != nil:
			return p, err
		}
	}
}

// fill reads until a piece is full or reading fails.
func fill(text io.Reader, piece []byte) (n int, err error) {
	for n < len(piece) && err == nil {
		var more int
		more, err = text.Read(piece[n:])
		n += more
	}
	return n, err
}
