package relay

import (
	"errors"

	"github.com/vmihailenco/msgpack/v5"
)

// part is one message of an answer: first its head, then its pieces, then the mark of its end. Only the mark makes the
// answer whole. The end of the stream alone does not: where a node's connection is closed under an answer, the stream
// ends as well, and half of the answer would pass for all of it.
//
// There is one for each token, so it is encoded as an array without names and by hand: the reflection of msgpack
// allocates for each struct.
type part struct {
	token  int
	piece  []byte
	status int
	kind   string
	whole  bool
}

// The order of the fields in a head; a piece has only the first two. New fields go to the end, where older nodes
// ignore them.
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
func (p *part) EncodeMsgpack(e *msgpack.Encoder) error {
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

func (p *part) size() int {
	switch {
	case p.whole:
		return sizeEnd
	case p.status != 0:
		return sizeHead
	}
	return sizePiece
}

// DecodeMsgpack implements msgpack.CustomDecoder. It writes the piece over the one that p has.
func (p *part) DecodeMsgpack(d *msgpack.Decoder) error {
	*p = part{piece: p.piece[:0]}
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

func (p *part) decode(d *msgpack.Decoder, field int) error {
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

// pass hands the part on.
func (p *part) pass(head func(status int, kind string) error, emit func(token int, piece []byte) error) error {
	if p.status != 0 {
		return head(p.status, p.kind)
	}
	return emit(p.token, p.piece)
}
