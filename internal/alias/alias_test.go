package alias_test

import (
	"testing"
	"time"

	"damaskreach/internal/alias"
)

// Hosts tell of ends of upstreams under the names that they know them by. Two names stand for one end where they are of one upstream and come at one time.
func TestNamesOfOneEndAreOne(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		first, second string
		apart         int // ms
		one           bool
	}{
		"before and after the registration": {"u/a#1", "u/b", 300, true},
		"the same":                          {"u/a", "u/a", 30_000, true},
		"one after the other":               {"u/a", "u/b", 2000, false},
		"two upstreams":                     {"u/a", "w/a", 0, false},
		"ids with a slash":                  {"z/u/a", "z/w/a", 0, false},
		"no incarnation":                    {"u", "w", 0, false},
	} {
		a := alias.NewAlias()
		first := a.Name(c.first, at(0))
		if got := a.Name(c.second, at(c.apart)) == first; got != c.one {
			t.Errorf("%s: %q and %q are one end: %v, want %v", name, c.first, c.second, got, c.one)
		}
		if got := a.Name(c.first, at(40_000)); got != first {
			t.Errorf("%s: later, %q stands for %q, want %q", name, c.first, got, first)
		}
	}
}
