package proxy

import (
	"bytes"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/semaphore"
)

const (
	// maxAnswerBytes is the largest answer that is buffered.
	maxAnswerBytes = 8 << 20
	// roomStep is by how much a text grows before it needs room, in bytes. Up to there it needs none, so that short ones are served while others
	// in trouble send long ones.
	roomStep = 32 << 10
)

var (
	errTooLarge = merry.Sentinel("proxy: the text is too large")
	errNoRoom   = merry.Sentinel("proxy: too many bytes are held")
)

// readAnswer reads an answer to its end. Its room is held until release is called.
func (p *Proxy) readAnswer(body io.Reader) (data []byte, release func(), err error) {
	data, held, err := readWithin(body, maxAnswerBytes, p.AnswerRoom)
	return data, func() { p.AnswerRoom.Release(held) }, err
}

// readWithin reads a text of unknown length to its end, and takes room for it as it grows; held is how much, also where it fails.
func readWithin(text io.Reader, limit int, room *semaphore.Weighted) (data []byte, held int64, err error) {
	var buffer bytes.Buffer
	for {
		_, err := io.CopyN(&buffer, text, roomStep)
		switch {
		case buffer.Len() > limit:
			return buffer.Bytes(), held, merry.Wrap(errTooLarge)
		case errors.Is(err, io.EOF):
			return buffer.Bytes(), held, nil
		case err != nil:
			return buffer.Bytes(), held, err
		case !room.TryAcquire(roomStep):
			return buffer.Bytes(), held, merry.Wrap(errNoRoom)
		}
		held += roomStep
	}
}
