// Package sseio decodes the server-sent events that model engines answer with.
package sseio

import (
	"bufio"
	"bytes"
	"io"

	"github.com/ansel1/merry/v2"
)

// ErrTooLong means that an event is larger than the reader's limit.
var ErrTooLong = merry.Sentinel("event too long")

// ErrBareReturn means that a line holds a carriage return that does not end it.
// The format lets one end a line; a JSON payload never holds one, and a payload that did
// would be split in two by whoever reads the answer after it was passed on.
var ErrBareReturn = merry.Sentinel("bare carriage return")

const bufferSize = 4 << 10

var (
	fieldData = []byte("data")
	byteOrder = []byte("\xef\xbb\xbf")
)

// Reader yields the data of one event after the other. It keeps one buffer for all events.
type Reader struct {
	src   *bufio.Reader
	limit int    // bytes of one event's data, and of one line
	data  []byte // data of the current event, its lines joined by line feeds
	line  []byte // a line longer than the buffer of src
	begun bool   // the first line was read
}

// NewReader returns a reader of r that refuses events of more than limit bytes.
func NewReader(r io.Reader, limit int) *Reader {
	return &Reader{src: bufio.NewReaderSize(r, bufferSize), limit: limit}
}

// Next returns the data of the next event, valid until the next call.
// It returns io.EOF where the input ends between two events, and io.ErrUnexpectedEOF where it ends within one.
func (r *Reader) Next() ([]byte, error) {
	r.data = r.data[:0]
	open := false // a field of this event was read
	some := false // a data field of this event was read
	for {
		line, err := r.readLine()
		if err == io.EOF && open {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if some {
				return r.data, nil
			}
			open = false
			continue
		}
		open = true
		if value, ok := dataField(line); ok {
			if err := r.add(value, some); err != nil {
				return nil, err
			}
			some = true
		}
	}
}

func (r *Reader) add(value []byte, some bool) error {
	if some {
		r.data = append(r.data, '\n')
	}
	if len(r.data)+len(value) > r.limit {
		return merry.Prependf(ErrTooLong, "reading an event of over %d bytes", r.limit)
	}
	r.data = append(r.data, value...)
	return nil
}

// readLine returns the next line without its end.
// A last line without an end is io.ErrUnexpectedEOF: what it would have been is not known.
func (r *Reader) readLine() ([]byte, error) {
	line, err := r.rawLine()
	if err == io.EOF && len(line) > 0 {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	line = bytes.TrimSuffix(line, []byte("\n"))
	line = bytes.TrimSuffix(line, []byte("\r"))
	if !r.begun {
		line = bytes.TrimPrefix(line, byteOrder)
		r.begun = true
	}
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, merry.Prepend(ErrBareReturn, "reading a line of an event")
	}
	return line, nil
}

// rawLine returns the next line with its line feed; it copies only lines longer than the buffer.
func (r *Reader) rawLine() ([]byte, error) {
	line, err := r.src.ReadSlice('\n')
	if err != bufio.ErrBufferFull {
		return line, err
	}
	r.line = r.line[:0]
	for err == bufio.ErrBufferFull {
		r.line = append(r.line, line...)
		if len(r.line) > r.limit+bufferSize {
			return nil, merry.Prependf(ErrTooLong, "reading a line of over %d bytes", r.limit)
		}
		line, err = r.src.ReadSlice('\n')
	}
	r.line = append(r.line, line...)
	return r.line, err
}

// dataField returns the value of a data line, without the one space that may follow the colon.
func dataField(line []byte) ([]byte, bool) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if !bytes.Equal(name, fieldData) {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte(" ")), true
}
