package rows_test

import (
	"testing"

	"damaskreach/internal/rows"
)

// A restored store issues numbers again: revisions of two eras must not pass for those of one, whatever their numbers are.
func TestCompareErasIgnoresNumbers(t *testing.T) {
	tests := []struct {
		name string
		a, b int64
		want int
	}{
		{"first era", 1, 99, 0},
		{"later era, lower number", rows.NewRev(2, 1), rows.NewRev(1, 99), 1},
		{"earlier era, higher number", rows.NewRev(1, 99), rows.NewRev(2, 1), -1},
		{"same era", rows.NewRev(2, 99), rows.NewRev(2, 1), 0},
		{"begin of an era", rows.NewRev(2, 0), rows.NewRev(2, 1), 0},
		{"nothing read yet", 0, rows.NewRev(1, 1), -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := rows.CompareEras(test.a, test.b); got != test.want {
				t.Errorf("CompareEras(%d, %d) = %d, want %d", test.a, test.b, got, test.want)
			}
		})
	}
}
