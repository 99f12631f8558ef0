package view_test

import (
	"testing"
	"time"

	"damaskreach/internal/target"
	"damaskreach/internal/view"
)

// More versions are named than are remembered. A version that was replaced before all of them must not seem to be replaced recently.
func TestReplacedVersionKeepsItsTime(t *testing.T) {
	begun := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var v view.View
	for n := range 40 {
		before := v
		v = v.WithVersion("m/a", n+2, begun.Add(time.Duration(n)*time.Second))
		if got := v.ReplacedAt("m/a", 1); !got.Equal(begun) {
			t.Fatalf("version 1 went out of date at %v after %d more, want %v", got, n, begun)
		}
		if got, want := v.ReplacedAt("m/a", n+1), begun.Add(time.Duration(n)*time.Second); !got.Equal(want) {
			t.Fatalf("version %d went out of date at %v, want %v", n+1, got, want)
		}
		if before.Versions["m/a"] == n+2 {
			t.Fatalf("the view before has version %d, want it unchanged", n+2)
		}
	}
	if got := v.ReplacedAt("m/a", 41); !got.IsZero() {
		t.Errorf("the newest version went out of date at %v, want never", got)
	}
	if got := len(v.NamedAt["m/a"]); got > 8 {
		t.Errorf("%d versions are remembered, want 8 at most", got)
	}
	if older := v.WithVersion("m/a", 3, begun.Add(time.Hour)); len(older.NamedAt["m/a"]) != len(v.NamedAt["m/a"]) {
		t.Error("an older version that arrives late changes the view")
	}
}

// An upstream changes its group: it must be in the new group only.
func TestGroupFollowsChangedTargets(t *testing.T) {
	before := view.View{}.WithTargets(map[string]target.Target{"a": {ID: "a", Group: "g"}, "b": {ID: "b", Group: "g"}})
	if got, want := len(before.Group("g")), 2; got != want {
		t.Errorf("upstreams of g = %d, want %d", got, want)
	}
	after := before.WithTargets(map[string]target.Target{"a": {ID: "a", Group: "g"}, "b": {ID: "b", Group: "h"}})
	for group, want := range map[string]string{"g": "a", "h": "b"} {
		if got := after.Group(group); len(got) != 1 || got[0].ID != want {
			t.Errorf("upstreams of %s = %v, want %s alone", group, got, want)
		}
	}
	if got := after.Group("none"); len(got) != 0 {
		t.Errorf("upstreams of a group without any = %v, want none", got)
	}
}
