package proxy

import (
	"bytes"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

const (
	// maxAnswerBytes is the largest answer that is buffered.
	maxAnswerBytes = 8 << 20
	// answerStep is by how much an answer grows before it needs room. Up to there it needs none, so that short answers are served while
	// upstreams in trouble send long ones.
	answerStep = 32 << 10
)

var (
	errAnswerTooLarge = merry.Sentinel("proxy: the answer is too large")
	errNoAnswerRoom   = merry.Sentinel("proxy: too many bytes of answers are held")
)

// readAnswer reads an answer to its end. Its room is held until release is called.
func (p *Proxy) readAnswer(body io.Reader) (data []byte, release func(), err error) {
	var buffer bytes.Buffer
	held := int64(0)
	release = func() { p.AnswerRoom.Release(held) }
	for {
		_, err := io.CopyN(&buffer, body, answerStep)
		switch {
		case buffer.Len() > maxAnswerBytes:
			return buffer.Bytes(), release, merry.Wrap(errAnswerTooLarge)
		case errors.Is(err, io.EOF):
			return buffer.Bytes(), release, nil
		case err != nil:
			return buffer.Bytes(), release, err
		case !p.AnswerRoom.TryAcquire(answerStep):
			return buffer.Bytes(), release, merry.Wrap(errNoAnswerRoom)
		}
		held += answerStep
	}
}
