// Package frame encodes and decodes the frames that nodes exchange over a byte stream.
//
// A frame is a 4-byte length, a 1-byte kind, a 1-byte set of flags, an 8-byte stream id and a body, big-endian.
// The length counts everything behind itself. Bodies are msgpack; this package does not look into them.
package frame

// Kinds of frames. A receiver skips kinds it does not know.
const (
	Hello  uint8 = 1  // handshake: who the sender is
	Proof  uint8 = 2  // handshake: the sender's MAC
	Reject uint8 = 3  // handshake: why the sender gives up
	Open   uint8 = 4  // opens a stream; body: method, first message
	Data   uint8 = 5  // one message of a stream; an empty body carries none
	Reset  uint8 = 6  // ends a stream at once; body: the error
	Credit uint8 = 7  // allows the receiver to send more; body: bytes
	Ping   uint8 = 8  // says that the sender is there
	Pong   uint8 = 9  // answered a Ping in an earlier release
	Skip   uint8 = 10 // an Open that was withdrawn before it was written
	Bye    uint8 = 11 // the sender takes no more streams; Stream is the newest it took
)

// Last is the flag of the last frame that a sender writes on a stream.
const Last uint8 = 1

const (
	sizeLength = 4
	sizeHeader = 1 + 1 + 8
)

// Overhead is the number of bytes a frame takes beside its body.
const Overhead = sizeLength + sizeHeader

// Frame is one unit of the protocol.
type Frame struct {
	Kind   uint8
	Flags  uint8
	Stream uint64 // zero for frames of the connection itself
	Body   []byte // msgpack; may be empty
}
