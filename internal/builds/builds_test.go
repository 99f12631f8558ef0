package builds_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"damaskreach/internal/builds"
	"damaskreach/internal/origin"
	"damaskreach/internal/target"
)

var start = time.Unix(1000, 0)

// running returns upstreams of one group, one for each build.
func running(list ...string) map[string]target.Target {
	targets := map[string]target.Target{}
	for _, build := range list {
		targets["on "+build] = target.Target{ID: "on " + build, Group: "g", Build: build}
	}
	return targets
}

// The last upstream of a build is gone, but callers may still come back with its streams. They must not go on at the build that is left.
func TestBuildCountsAsLongAsItsStreamsMayBeResumed(t *testing.T) {
	var b builds.Builds
	b.Observe(running("v1"), start)
	if got, ok := b.Sole("g"); !ok || got != "v1" {
		t.Errorf("Sole() = %q, %v, want v1", got, ok)
	}
	if got, want := b.Observe(running("v1", "v2"), start), []string{"g"}; !slices.Equal(got, want) {
		t.Errorf("newly mixed groups = %q, want %q", got, want)
	}
	if got := b.Observe(running("v2"), start.Add(origin.Retention)); len(got) > 0 {
		t.Errorf("newly mixed groups = %q, want none", got)
	}
	if got, ok := b.Sole("g"); ok {
		t.Errorf("Sole() = %q, want none while streams of v1 may be resumed", got)
	}
	b.Observe(running("v2"), start.Add(origin.Retention+time.Second))
	if got, ok := b.Sole("g"); !ok || got != "v2" {
		t.Errorf("Sole() = %q, %v, want v2", got, ok)
	}
}

// A host starts after a build has gone, and hears of it from the store. It must not take the build that is left for the only one.
func TestRestoredBuildCounts(t *testing.T) {
	var before, after builds.Builds
	before.Observe(running("v1", "v2"), start)
	after.Observe(running("v2"), start)
	after.Restore(before.All(), start)
	if got, ok := after.Sole("g"); ok {
		t.Errorf("Sole() = %q, want none", got)
	}
	if got, want := slices.Collect(maps.Keys(after.All())), []string{"g"}; !slices.Equal(got, want) {
		t.Errorf("groups of several builds = %q, want %q", got, want)
	}
}

// A host starts while a build is new. That it has seen the build from its start does not mean that others know it.
func TestBuildThatIsNewAtTheStartIsNew(t *testing.T) {
	var b builds.Builds
	b.Observe(running("v1", "v2"), start)
	b.Restore(map[string][]string{"g": {"v1"}}, start)
	if got, want := b.Recent("g", 2*time.Second, start.Add(time.Second)), []string{"v2"}; !slices.Equal(got, want) {
		t.Errorf("Recent() = %q, want %q", got, want)
	}
}

// One host learns of a build sooner than another. A stream that it begins there at once could come to the other, which takes it for one of
// the build that it knows.
func TestBuildIsNewUntilOtherHostsKnowIt(t *testing.T) {
	var b builds.Builds
	b.Observe(running("v1"), start)
	b.Observe(running("v1", "v2"), start.Add(time.Second))
	if got, want := b.Recent("g", 2*time.Second, start.Add(2*time.Second)), []string{"v2"}; !slices.Equal(got, want) {
		t.Errorf("Recent() = %q, want %q", got, want)
	}
	if got := b.Recent("g", 2*time.Second, start.Add(3*time.Second)); len(got) > 0 {
		t.Errorf("Recent() = %q, want none", got)
	}
}
