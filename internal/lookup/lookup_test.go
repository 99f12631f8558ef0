package lookup_test

import (
	"fmt"
	"testing"

	"damaskreach/internal/lookup"
	"damaskreach/internal/mate"
)

func hosts(centre string, count int) []mate.Mate {
	var list []mate.Mate
	for i := range count {
		list = append(list, mate.Mate{IP: fmt.Sprint(centre, i), Centre: centre})
	}
	return list
}

func count(list []mate.Mate) map[string]int {
	n := map[string]int{}
	for _, h := range list {
		n[h.Centre]++
	}
	return n
}

// A site has more hosts than an answer may name. Callers would not take a longer one, and connect to nobody.
func TestAnswersNameNoMoreThanTheyMay(t *testing.T) {
	got := lookup.Hosts(append(hosts("a", 83), hosts("b", 83)...), "a")
	if n := count(got); len(got) != 64 || n["a"] != 64 {
		t.Errorf("named = %v, want 64 of a", n)
	}
	seen := map[string]bool{}
	for range 200 {
		for _, h := range lookup.Hosts(hosts("a", 83), "a") {
			seen[h.IP] = true
		}
	}
	if got, want := len(seen), 83; got != want {
		t.Errorf("hosts ever named = %d, want all %d", got, want)
	}
}

// Most hosts of the caller's data centre are lost. The few that are left would get all of its callers, and the next loss leave
// these with nobody.
func TestFewHostsNearbyAreNotNamedAlone(t *testing.T) {
	n := count(lookup.Hosts(append(hosts("a", 3), hosts("b", 36)...), "a"))
	if n["a"] != 3 || n["b"] != 13 {
		t.Errorf("named = %v, want 3 of a and 13 of b", n)
	}
	if n := count(lookup.Hosts(append(hosts("a", 2), hosts("b", 4)...), "a")); n["a"] != 2 || n["b"] != 4 {
		t.Errorf("named = %v, want all 6 of a small site", n)
	}
}
