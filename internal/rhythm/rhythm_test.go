package rhythm_test

import (
	"testing"

	"damaskreach/internal/rhythm"
)

// A site has more hosts than any before it. However many there are, a host must be heard several times before it counts as lost,
// and news must arrive while it still counts: hosts would be lost and found at each message otherwise.
func TestBoundsFollowFromTheRhythm(t *testing.T) {
	for hosts := 3; hosts <= 1326; hosts++ {
		for _, centres := range []int{1, 3, 5, 16} {
			r := rhythm.NewRhythm((hosts+centres-1)/centres, centres)
			if r.Silent() < 5*r.Every() {
				t.Errorf("%d hosts in %d: lost after %v at a message each %v", hosts, centres, r.Silent(), r.Every())
			}
			if r.Patience() < 2*r.Every() || r.Patience() >= r.Silent() {
				t.Errorf("%d hosts in %d: patience %v at %v, lost after %v", hosts, centres, r.Patience(), r.Every(), r.Silent())
			}
			if r.Old() >= r.Silent() {
				t.Errorf("%d hosts in %d: news is %v old, lost after %v", hosts, centres, r.Old(), r.Silent())
			}
		}
	}
}
