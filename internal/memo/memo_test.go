package memo_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"damaskreach/internal/memo"
)

func TestMemoKeepsMostRecentNames(t *testing.T) {
	now := time.Unix(1000, 0)
	used := map[string]time.Time{}
	for i := range 300 {
		used[fmt.Sprintf("m/a%03d", i)] = now.Add(time.Duration(i) * time.Second)
	}
	m, err := memo.Decode(memo.NewMemo(7, used).Encode())
	if err != nil {
		t.Fatalf("Decode = %v, want nil", err)
	}
	if got, want := m.Incarnation, int64(7); got != want {
		t.Errorf("Incarnation = %d, want %d", got, want)
	}
	if got, want := len(m.Names), 100; got != want {
		t.Fatalf("names = %d, want %d", got, want)
	}
	if got, want := m.Names[:3], []string{"m/a299", "m/a298", "m/a297"}; !slices.Equal(got, want) {
		t.Errorf("first names = %v, want %v", got, want)
	}
}

// A row was written by another version of the program, or by another program. The host must start as if there were none.
func TestForeignRowFailsToDecode(t *testing.T) {
	for _, data := range [][]byte{nil, []byte("x"), {0x81, 0xa1, 'n', 0x05}} {
		if _, err := memo.Decode(data); err == nil {
			t.Errorf("Decode(%q) = nil, want an error", data)
		}
	}
}
