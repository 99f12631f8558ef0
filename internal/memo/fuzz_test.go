package memo_test

import (
	"testing"
	"time"

	"damaskreach/internal/memo"
)

// Rows may hold anything. Decoding must not panic, nor return more names than are ever written.
func FuzzDecode(f *testing.F) {
	f.Add(memo.NewMemo(7, map[string]time.Time{"m/a": time.Unix(1, 0), "m/b": time.Unix(2, 0)}).Encode())
	f.Add([]byte{0x81, 0xa1, 'n', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := memo.Decode(data)
		if err == nil && len(m.Names) > 100 {
			t.Errorf("names = %d, want at most 100", len(m.Names))
		}
	})
}
