package strm_test

import (
	"testing"
	"time"

	"damaskreach/internal/strm"
)

// A peer of a faulty release sends nil where a time belongs. Reading its message must fail; the process with all its other
// requests must not end.
func TestNilInPlaceOfATimeIsAnError(t *testing.T) {
	type message struct {
		At time.Time `msgpack:"at"`
	}
	nilAt := []byte{0x81, 0xa2, 'a', 't', 0xc0}
	var got message
	if _, err := strm.Decode(nilAt, &got); err == nil {
		t.Errorf("Decode = %v, want an error", got)
	}
	whole := []byte{0x80}
	if _, err := strm.Decode(whole, &got); err != nil {
		t.Errorf("Decode after a panic: got %v, want nil", err)
	}
}
