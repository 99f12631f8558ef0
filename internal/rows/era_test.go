package rows_test

import (
	"testing"

	"damaskreach/internal/rows"
)

// The store comes back from a copy and gives numbers out again: revisions of two eras must not pass for those of one, whatever their numbers are.
func TestErasAreComparedWhateverTheNumbers(t *testing.T) {
	tests := []struct {
		name string
		a, b int64
		want int
	}{
		{"first era", 1, 99, 0},
		{"later era, lower number", rows.At(2, 1), rows.At(1, 99), 1},
		{"earlier era, higher number", rows.At(1, 99), rows.At(2, 1), -1},
		{"same era", rows.At(2, 99), rows.At(2, 1), 0},
		{"begin of an era", rows.At(2, 0), rows.At(2, 1), 0},
		{"nothing read yet", 0, rows.At(1, 1), -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := rows.CompareEras(test.a, test.b); got != test.want {
				t.Errorf("CompareEras(%d, %d) = %d, want %d", test.a, test.b, got, test.want)
			}
		})
	}
}
