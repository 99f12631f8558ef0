package bundle_test

import (
	"fmt"
	"slices"
	"testing"

	"damaskreach/internal/bundle"
	"damaskreach/internal/rows"
)

func TestRowsComeBackSmaller(t *testing.T) {
	var list []rows.Row
	size := 0
	for i := range 300 {
		row := rows.Row{Key: fmt.Sprint("up/", i), Rev: int64(i), Value: fmt.Appendf(nil, `{"service":"g","address":"10.0.0.%d:80","slots":16}`, i)}
		list = append(list, row)
		size += len(row.Value)
	}
	b, err := bundle.NewBundle(7, list)
	if err != nil || b.Rev != 7 || len(b.Data) > size/2 {
		t.Fatalf("NewBundle() = %d bytes of %d, revision %d, %v, want half at most", len(b.Data), size, b.Rev, err)
	}
	got, err := b.Rows()
	if err != nil || !slices.EqualFunc(got, list, func(a, b rows.Row) bool {
		return a.Key == b.Key && string(a.Value) == string(b.Value) && a.Rev == b.Rev
	}) {
		t.Errorf("Rows() = %d rows, %v, want the %d that were put in", len(got), err, len(list))
	}
}

// Another release, or a connection that mixes bytes up, sends something else. It must be found out, and not be taken for no rows at all.
func TestForeignBytesAreNoRows(t *testing.T) {
	for _, data := range []string{"", "no rows", "\x00\xff\xff"} {
		if list, err := (bundle.Bundle{Rev: 1, Data: []byte(data)}).Rows(); err == nil {
			t.Errorf("Rows() of %q = %v, want an error", data, list)
		}
	}
}
