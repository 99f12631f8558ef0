package relay

import (
	"errors"

	"github.com/vmihailenco/msgpack/v5"
)

// frame is one message of an answer: its head, then its pieces, then the end mark. Only the end mark makes the answer whole:
// the stream also ends when a node's connection closes during an answer, and half an answer would pass for all of it.
//
// There is a frame for each token, so it is encoded by hand as an array without names: msgpack's reflection allocates for
// each struct.
type frame struct {
	token  int
	piece  []byte
	status int
	kind   string
	whole  bool
}

// The order of the fields in a head; a piece has only the first two. New fields are appended, since older nodes ignore them there.
const (
	fieldToken = iota
	fieldPiece
	fieldStatus
	fieldKind
	fieldWhole
)

const (
	sizePiece = fieldPiece + 1
	sizeHead  = fieldKind + 1
	sizeEnd   = fieldWhole + 1
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (p *frame) EncodeMsgpack(e *msgpack.Encoder) error {
	size := p.size()
	err := errors.Join(e.EncodeArrayLen(size), e.EncodeInt(int64(p.token)), e.EncodeBytes(p.piece))
	if err != nil || size == sizePiece {
		return err
	}
	err = errors.Join(e.EncodeInt(int64(p.status)), e.EncodeString(p.kind))
	if err != nil || size == sizeHead {
		return err
	}
	return e.EncodeBool(p.whole)
}

func (p *frame) size() int {
	switch {
	case p.whole:
		return sizeEnd
	case p.status != 0:
		return sizeHead
	}
	return sizePiece
}

// DecodeMsgpack implements msgpack.CustomDecoder. It reuses the memory of the piece in p.
func (p *frame) DecodeMsgpack(d *msgpack.Decoder) error {
	*p = frame{piece: p.piece[:0]}
	size, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	for field := range size {
		if err := p.decode(d, field); err != nil {
			return err
		}
	}
	return nil
}

func (p *frame) decode(d *msgpack.Decoder, field int) error {
	switch field {
	case fieldToken:
		return d.Decode(&p.token)
	case fieldPiece:
		return d.Decode(&p.piece)
	case fieldStatus:
		return d.Decode(&p.status)
	case fieldKind:
		return d.Decode(&p.kind)
	case fieldWhole:
		return d.Decode(&p.whole)
	default:
		return d.Skip()
	}
}

// pass hands the frame to head or emit.
func (p *frame) pass(head func(status int, kind string) error, emit func(token int, piece []byte) error) error {
	if p.status != 0 {
		return head(p.status, p.kind)
	}
	return emit(p.token, p.piece)
}
