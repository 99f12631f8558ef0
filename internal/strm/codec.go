package strm

import (
	"bytes"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// keepScratch is the capacity up to which a buffer is kept for later messages.
const keepScratch = 64 << 10

// scratch is a buffer with the encoder that writes to it and a reader with the decoder that reads from it.
type scratch struct {
	buf    bytes.Buffer
	enc    *msgpack.Encoder
	reader bytes.Reader
	dec    *msgpack.Decoder
}

var scratches = sync.Pool{New: func() any {
	s := &scratch{}
	s.enc = msgpack.NewEncoder(&s.buf)
	s.enc.UseCompactInts(true) // or each int takes nine bytes
	s.dec = msgpack.NewDecoder(&s.reader)
	return s
}}

func getScratch() *scratch {
	return scratches.Get().(*scratch)
}

func (s *scratch) put() {
	if s.buf.Cap() > keepScratch {
		return
	}
	s.buf.Reset()
	s.reader.Reset(nil)
	scratches.Put(s)
}

// encode appends the values to the buffer.
func (s *scratch) encode(values ...any) error {
	for _, v := range values {
		if err := s.enc.Encode(v); err != nil {
			return merry.Prependf(err, "encoding a message of type %T", v)
		}
	}
	return nil
}

// decode reads one message. The decoder panics on a nil in the place of a time, which a peer with a fault may send; without
// the recovery one message of one peer would end the whole process.
func (s *scratch) decode(body []byte, v any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = merry.Errorf("decoding a message into %T: %v", v, r)
		}
	}()
	s.reader.Reset(body)
	s.dec.Reset(&s.reader)
	// Prependf allocates even for a nil error, and this runs for each message.
	if err := s.dec.Decode(v); err != nil {
		return merry.Prependf(err, "decoding a message into %T", v)
	}
	return nil
}

// Encode hands the encoded values to use, which must not keep them.
func Encode(use func(body []byte) error, values ...any) error {
	s := getScratch()
	defer s.put()
	if err := s.encode(values...); err != nil {
		return err
	}
	return use(s.buf.Bytes())
}

// Decode reads one value from the start of body and returns the rest.
func Decode(body []byte, v any) ([]byte, error) {
	s := getScratch()
	defer s.put()
	if err := s.decode(body, v); err != nil {
		return nil, err
	}
	return body[len(body)-s.reader.Len():], nil
}
