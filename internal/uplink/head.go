package uplink

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/heads"
)

// maxHead bounds the head of an answer, with those of interim ones, in bytes. An upstream in trouble may send bytes without end, which would fill the
// memory of this host.
const maxHead = 64 << 10

var (
	// ErrLongHead means that the head of an answer has not ended within maxHead.
	ErrLongHead = merry.Sentinel("uplink: the head of the answer is too long")
	// ErrMerged means that the heads of two answers have run together.
	ErrMerged = merry.Sentinel("uplink: two heads have run together")
)

// Answered reports whether an error says that the upstream has sent something that is no answer to the request: it goes on.
func Answered(err error) bool {
	return errors.Is(err, ErrStray) || errors.Is(err, ErrMerged) || errors.Is(err, ErrLongHead) || errors.Is(err, heads.ErrMalformed)
}

// head reads the head of an answer, past those of interim ones.
func (c *conn) head(method string) (*http.Response, error) {
	c.headLeft = maxHead
	for {
		if err := c.checkHead(); err != nil {
			return nil, err
		}
		r, err := http.ReadResponse(c.read, &http.Request{Method: method})
		if err == nil && heads.Merged(r.Header) {
			err = merry.Wrap(ErrMerged)
		}
		if err != nil || r.StatusCode >= http.StatusOK {
			return r, err
		}
	}
}

// checkHead reads one head to its end, checks each line as it comes and puts all back.
func (c *conn) checkHead() error {
	c.inHead = true
	defer func() { c.inHead = false }()
	var head bytes.Buffer
	for check := heads.CheckFirst; ; check = heads.CheckField {
		line, err := c.line(&head)
		if err != nil {
			return err
		}
		if len(line) == 0 && head.Len() > 2 {
			break
		}
		if err := check(line); err != nil {
			return err
		}
	}
	rest, err := c.read.Peek(c.read.Buffered())
	if err != nil {
		return merry.Wrap(err)
	}
	head.Write(rest)
	c.unread = append(head.Bytes(), c.unread...)
	c.read.Reset(c)
	return nil
}

// line adds the next line to those of a head and returns it without its end.
func (c *conn) line(head *bytes.Buffer) ([]byte, error) {
	start := head.Len()
	for {
		part, err := c.read.ReadSlice('\n')
		head.Write(part)
		if err == nil {
			line := head.Bytes()[start:]
			return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'}), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, merry.Wrap(unexpected(err))
		}
	}
}

// unexpected returns the error of reading that ended within a head.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
