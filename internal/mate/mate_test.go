package mate_test

import (
	"fmt"
	"hash/fnv"
	"testing"

	"damaskreach/internal/mate"
)

// formerRank is the rank of an address in former releases.
func formerRank(ip string) uint32 {
	sum := fnv.New32a()
	sum.Write([]byte("duty " + ip))
	return sum.Sum32()
}

// Hosts of two releases run side by side during an upgrade. If their orders differed, some would leave a duty to a host that
// doesn't do it.
func TestOrderIsThatOfFormerReleases(t *testing.T) {
	for n := range 300 {
		a, b := fmt.Sprintf("10.0.0.%d", n), fmt.Sprintf("10.0.1.%d", n)
		got, want := mate.Mate{IP: a}.Before(mate.Mate{IP: b}), formerRank(a) < formerRank(b)
		if got != want {
			t.Errorf("%s before %s = %v, want %v", a, b, got, want)
		}
	}
}

func BenchmarkBefore(b *testing.B) {
	one, other := mate.Mate{IP: "10.20.30.40"}, mate.Mate{IP: "10.20.31.40"}
	b.ReportAllocs()
	for b.Loop() {
		one.Before(other)
	}
}
