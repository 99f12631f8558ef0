package parcel_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"damaskreach/internal/parcel"
	"damaskreach/internal/rows"
)

// routes returns the routes numbered from one number up to, but not including, another.
func routes(from, to int) []byte {
	var b bytes.Buffer
	for n := from; n < to; n++ {
		fmt.Fprintf(&b, `{"name":"r-%07x","prefix":"/%08x/","timeout_ms":15000,"service":"wuno96b"},`, n*7919, n*104729)
	}
	return b.Bytes()
}

func pack(t testing.TB, value []byte, base int64, old []byte) parcel.Parcel {
	t.Helper()
	p, err := parcel.NewParcel([]rows.Row{{Key: "op/config", Value: value, Rev: 9}}, 12, base, old)
	if err != nil {
		t.Fatalf("NewParcel = %v, want nil", err)
	}
	return p
}

// A delta that changes one figure among thousands of routes, or adds routes, must be little larger than the change.
func TestDeltaIsLittleLargerThanChange(t *testing.T) {
	old := routes(0, 2800)
	changed := bytes.Replace(old, []byte("15000"), []byte("16000"), 1)
	for name, c := range map[string]struct {
		value []byte
		most  int // bytes
	}{
		"one figure": {changed, 1 << 10}, "half as many again": {routes(0, 4200), len(old) / 8},
	} {
		p := pack(t, c.value, 7, old)
		if len(p.Data) > c.most {
			t.Errorf("%s: %d bytes, want %d at most; the whole takes %d", name, len(p.Data), c.most, len(pack(t, c.value, 0, nil).Data))
		}
		list, err := p.Rows(old)
		if err != nil || len(list) != 1 || !bytes.Equal(list[0].Value, c.value) || list[0].Rev != 9 {
			t.Errorf("%s: Rows = %d rows, %v, want the row as it was", name, len(list), err)
		}
	}
}

// The receiver has another row at the base revision, or bytes are lost or changed in transit. The result would be a configuration
// that no operator wrote, so it must be rejected.
func TestDamagedParcelIsRejected(t *testing.T) {
	old := routes(0, 2800)
	p := pack(t, routes(0, 3000), 7, old)
	whole := pack(t, routes(0, 3000), 0, nil)
	changed := func(p parcel.Parcel, change func(data []byte) []byte) parcel.Parcel {
		p.Data = change(bytes.Clone(p.Data))
		return p
	}
	flip := func(data []byte) []byte { data[len(data)/2] ^= 1; return data }
	cut := func(data []byte) []byte { return data[:len(data)-1] }
	for name, c := range map[string]struct {
		p    parcel.Parcel
		base []byte
	}{
		"another base": {p, routes(1, 2801)}, "no base": {p, nil},
		"a changed difference": {changed(p, flip), old}, "a cut difference": {changed(p, cut), old},
		"a changed whole": {changed(whole, flip), nil}, "a cut whole": {changed(whole, cut), nil},
	} {
		if _, err := c.p.Rows(c.base); !errors.Is(err, parcel.ErrDamaged) {
			t.Errorf("%s: Rows = %v, want %v", name, err, parcel.ErrDamaged)
		}
	}
}

func FuzzRows(f *testing.F) {
	p, err := parcel.NewParcel([]rows.Row{{Key: "op/config", Value: routes(0, 10), Rev: 9}}, 12, 0, nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(p.Data, p.Sum, int64(0), []byte(nil))
	f.Add(p.Data, p.Sum, int64(7), routes(0, 3))
	f.Fuzz(func(t *testing.T, data []byte, sum string, base int64, value []byte) {
		list, err := parcel.Parcel{Base: base, Sum: sum, Data: data}.Rows(value)
		if err != nil && (!errors.Is(err, parcel.ErrDamaged) || list != nil) {
			t.Errorf("Rows = %v, %v, want no rows and %v", list, err, parcel.ErrDamaged)
		}
	})
}
