// Package events reads the events of a stream as they are and tells which of them its caller lacks.
//
// Several engines may run one stream, one after the other: each begins behind the last event that the caller has, or repeats some.
package events

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/ansel1/merry/v2"
)

// ErrTooLong means that an event does not end within the bytes that it may have.
var ErrTooLong = merry.Sentinel("events: the stream brings no further event")

// ErrGap means that an event between two is missing.
var ErrGap = merry.Sentinel("events: an event is missing")

// Passed is how far a stream has been passed on. It is immutable; the zero value is that of one that has not begun.
type Passed struct {
	last string // ID of the last event that the caller has; empty for none
}

// NewPassed returns that of a stream whose caller has all events up to an ID.
func NewPassed(last string) Passed { return Passed{last} }

// Last returns the ID of the last event that the caller has, empty for none.
func (p Passed) Last() string { return p.last }

// GoesOnWith reports whether the event with an ID, empty for none, brings the stream on: the caller does not have it yet. Comments do not, nor what an engine in trouble repeats: taken for
// events, they would give its turn back, make the engine look fast and keep the stream there, so that it drew requests from sound ones.
func (p Passed) GoesOnWith(id string) bool {
	by, known := p.ahead(id)
	return id != "" && id != p.last && (!known || by > 0)
}

// Has reports whether the caller has the event with an ID already.
func (p Passed) Has(id string) bool {
	by, known := p.ahead(id)
	return known && by <= 0
}

// With returns how far the stream is passed on once its caller has the event with an ID too, empty for none. It fails where an event before that is missing.
func (p Passed) With(id string) (Passed, error) {
	if by, known := p.ahead(id); known && by > 1 {
		return p, merry.Prependf(ErrGap, "event %s follows event %s", id, p.last)
	}
	if id != "" && !p.Has(id) {
		p.last = id
	}
	return p, nil
}

// ahead returns how far the event with an ID is ahead of the last one that was passed on; known is false where that cannot be told.
func (p Passed) ahead(id string) (by int, known bool) {
	number, err := strconv.Atoi(id)
	last, lastErr := strconv.Atoi(p.last)
	return number - last, err == nil && lastErr == nil
}

// Read reads up to the end of one event of at most the given size. It returns io.EOF only where the stream ends between two events.
func Read(in *bufio.Reader, event *bytes.Buffer, most int) error {
	for !bytes.HasSuffix(event.Bytes(), []byte("\n\n")) {
		line, err := in.ReadSlice('\n')
		event.Write(line)
		switch {
		case event.Len() > most:
			return merry.Wrap(ErrTooLong)
		case errors.Is(err, io.EOF) && event.Len() > 0:
			return io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return err
		}
	}
	return nil
}

// ID returns the ID of an event, empty for none.
func ID(event []byte) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}
