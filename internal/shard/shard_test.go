package shard_test

import (
	"maps"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"damaskreach/internal/shard"
)

// An earlier map must stay as it was when later ones are made from it,
// since traffic goroutines go on reading the configuration they began with.
func TestMapMatchesBuiltInMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var now shard.Map[int, int]
		want := map[int]int{}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			earlier, before := now, maps.Clone(want)
			set := rapid.MapOfN(rapid.IntRange(0, 2000), rapid.Int(), 0, 300).Draw(t, "set")
			drop := rapid.SliceOfN(rapid.IntRange(0, 2000), 0, 100).Draw(t, "drop")
			now = now.With(set, drop...)
			maps.Copy(want, set)
			for _, key := range drop {
				delete(want, key)
			}
			compare(t, now, want)
			compare(t, earlier, before)
		}
	})
}

func compare(t *rapid.T, m shard.Map[int, int], want map[int]int) {
	if got := maps.Collect(m.All()); !maps.Equal(got, want) || m.Len() != len(want) {
		t.Fatalf("map = %v with Len() %d, want %v", got, m.Len(), want)
	}
	keys := slices.Sorted(maps.Keys(want))
	if got := m.Keys(); !slices.Equal(got, keys) {
		t.Fatalf("Keys() = %v, want %v", got, keys)
	}
	for _, key := range keys {
		if got, ok := m.Get(key); !ok || !reflect.DeepEqual(got, want[key]) {
			t.Fatalf("Get(%d) = %d, %v, want %d, true", key, got, ok, want[key])
		}
	}
}
