package snap_test

import (
	"crypto/sha256"
	"errors"
	"reflect"
	"slices"
	"testing"

	"damaskreach/internal/rows"
	"damaskreach/internal/snap"
)

func sample() []rows.Row {
	return []rows.Row{
		{Key: "conf/adapter/a", Value: []byte(`{"name":"a"}`), Rev: 3},
		{Key: "conf/adapter/a", Value: []byte(`{`), Rev: 4},
		{Key: "conf/adapter/b", Rev: 5, Gone: true},
	}
}

func TestDecodeGivesWhatWasEncoded(t *testing.T) {
	all := sample()
	data, err := snap.Encode([]rows.Row{all[2], all[0], all[1]}, 7)
	if err != nil {
		t.Fatal(err)
	}
	got, rev, err := snap.Decode(data)
	if err != nil || rev != 7 || !reflect.DeepEqual(got, all) {
		t.Errorf("Decode() = %v, %d, %v, want %v, 7, nil", got, rev, err, all)
	}
}

// The object store returns part of a snapshot, a snapshot with a byte changed, or one of a later release.
// A node that took it in would run on a configuration that nobody wrote.
func TestDecodeRefusesDamage(t *testing.T) {
	data, err := snap.Encode(sample(), 7)
	if err != nil {
		t.Fatal(err)
	}
	for i := range data {
		changed := append([]byte(nil), data...)
		changed[i] ^= 0x55
		if _, _, err := snap.Decode(changed); !errors.Is(err, snap.ErrFormat) {
			t.Errorf("Decode() with byte %d of %d changed = %v, want ErrFormat", i, len(data), err)
		}
		if _, _, err := snap.Decode(data[:i]); !errors.Is(err, snap.ErrFormat) {
			t.Errorf("Decode() of the first %d of %d bytes = %v, want ErrFormat", i, len(data), err)
		}
	}
}

// seal puts the right checksum behind the 8 bytes of the format's mark.
func seal(data []byte) []byte {
	const mark, head = 8, 8 + sha256.Size
	if len(data) < head {
		return data
	}
	sum := sha256.Sum256(data[head:])
	return slices.Concat(data[:mark], sum[:], data[head:])
}

func FuzzDecode(f *testing.F) {
	data, err := snap.Encode(sample(), 7)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:20])
	f.Fuzz(func(t *testing.T, data []byte) {
		data = seal(data) // past the checksum, so that the decoder itself is tried
		all, rev, err := snap.Decode(data)
		if err != nil {
			return
		}
		again, err := snap.Encode(all, rev)
		if err != nil {
			t.Fatalf("encoding what was decoded: %v", err)
		}
		if _, _, err := snap.Decode(again); err != nil {
			t.Errorf("decoding what was encoded again: %v", err)
		}
	})
}
