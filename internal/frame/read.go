package frame

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

// ErrLarge means that a peer announced a frame over the bound.
var ErrLarge = merry.Sentinel("frame: over the size bound")

// ErrShort means that a peer announced a frame that cannot hold its header.
var ErrShort = merry.Sentinel("frame: shorter than its header")

// Read is ReadInto with a new body for each frame.
func Read(r *bufio.Reader, limit int) (Frame, error) {
	return ReadInto(r, limit, nil)
}

// ReadInto reads one frame whose body has at most limit bytes, into the memory of buf where the body fits there.
// It returns io.EOF at the end of the stream and io.ErrUnexpectedEOF in the middle of a frame.
//
// The length comes from the other side. Without the bound a broken or foreign peer could make this process
// allocate gigabytes for one frame; one would notice a node killed for its memory.
func ReadInto(r *bufio.Reader, limit int, buf []byte) (Frame, error) {
	head, err := r.Peek(Overhead)
	if err != nil {
		return Frame{}, headError(head, err, limit)
	}
	size, err := bodySize(head, limit)
	if err != nil {
		return Frame{}, err
	}
	f := Frame{
		Kind:   head[sizeLength],
		Flags:  head[sizeLength+1],
		Stream: binary.BigEndian.Uint64(head[sizeLength+2:]),
	}
	if _, err := r.Discard(Overhead); err != nil {
		return Frame{}, err
	}
	if size == 0 {
		return f, nil
	}
	if size > cap(buf) {
		buf = make([]byte, size)
	}
	f.Body = buf[:size]
	if _, err := io.ReadFull(r, f.Body); err != nil {
		return Frame{}, unexpected(err)
	}
	return f, nil
}

// bodySize returns the length of the body that the header announces.
func bodySize(head []byte, limit int) (int, error) {
	size := int64(binary.BigEndian.Uint32(head)) - sizeHeader
	if size < 0 {
		return 0, merry.Appendf(ErrShort, "%d bytes", size+sizeHeader)
	}
	if size > int64(limit) {
		return 0, merry.Appendf(ErrLarge, "%d bytes announced, %d allowed", size, limit)
	}
	return int(size), nil
}

// headError explains a header that did not arrive in full.
func headError(head []byte, err error, limit int) error {
	if len(head) == 0 {
		return err
	}
	if len(head) >= sizeLength {
		if _, wrong := bodySize(head, limit); wrong != nil {
			return wrong
		}
	}
	return unexpected(err)
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
