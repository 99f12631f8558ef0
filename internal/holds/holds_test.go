package holds_test

import (
	"testing"
	"time"

	"damaskreach/internal/holds"
	"damaskreach/internal/target"
)

var now = time.Unix(1000, 0)

func newEngine(born, sequence int64, adapters map[string]int) target.Target {
	return target.Target{ID: "e", Incarnation: born, Sequence: sequence, Adapters: adapters}
}

// The owner had an adapter loaded, and the engine's registration is a second old. Requests must go there instead of
// causing a second load.
func TestUpdateIsNewerThanRegistration(t *testing.T) {
	h := holds.NewHolds()
	h.Update("e", 1, 5, map[string]int{"m/a": 2})
	if v, ok := h.Version(newEngine(1, 4, nil), "m/a", now); !ok || v != 2 {
		t.Errorf("Version() = %d, %v, want 2, true", v, ok)
	}
}

// The engine restarted under its ID and holds nothing. Updates about its former incarnation must not send requests there.
func TestRestartInvalidatesUpdates(t *testing.T) {
	h := holds.NewHolds()
	h.Update("e", 1, 5, map[string]int{"m/a": 2})
	if _, ok := h.Version(newEngine(2, 0, nil), "m/a", now); ok {
		t.Error("adapter counts as held after the restart")
	}
	h.Update("e", 2, 1, map[string]int{})
	h.Update("e", 1, 9, map[string]int{"m/a": 2})
	if _, ok := h.Version(newEngine(2, 0, nil), "m/a", now); ok {
		t.Error("a late update of the former incarnation counts")
	}
}

// An engine rejects a request for an adapter in its registration. It must not be asked again until something newer is known.
func TestMissExpires(t *testing.T) {
	h := holds.NewHolds()
	e := newEngine(1, 4, map[string]int{"m/a": 1})
	h.RecordMiss("e", "m/a", now)
	if _, ok := h.Version(e, "m/a", now); ok {
		t.Error("adapter counts as held right after the rejection")
	}
	if _, ok := h.Version(e, "m/a", now.Add(time.Minute)); !ok {
		t.Error("adapter doesn't count as held a minute later")
	}
}

// An evicted adapter is requested again. It must be loaded on the engine that still has its weights, in a tenth of the time.
func TestEvictedAdapterIsCached(t *testing.T) {
	h := holds.NewHolds()
	h.Update("e", 1, 5, map[string]int{"m/a": 1, "m/b": 1})
	h.Update("e", 1, 6, map[string]int{"m/b": 1})
	if !h.CachedAt(newEngine(1, 6, nil), "m/a") {
		t.Error("the engine doesn't count as caching the adapter that it evicted")
	}
	if h.CachedAt(newEngine(2, 0, nil), "m/a") {
		t.Error("restarted engine counts as caching the weights")
	}
}

// A starting host learns which weights engines cache. Evictions that it has seen itself take precedence.
func TestAddCachedKeepsOwnRecords(t *testing.T) {
	h := holds.NewHolds()
	e := newEngine(1, 5, nil)
	h.AddCached("e", 1, []string{"m/a", "m/b"})
	if !h.CachedAt(e, "m/a") {
		t.Error("engine doesn't count as caching m/a")
	}
	h.Update("other", 1, 1, map[string]int{"m/c": 1})
	h.Update("other", 1, 2, map[string]int{})
	h.AddCached("e", 1, []string{"m/c"})
	if h.CachedAt(e, "m/c") {
		t.Error("m/c counts as cached at the engine, want the one that was seen to unload it")
	}
	if h.CachedAt(newEngine(2, 0, nil), "m/a") {
		t.Error("engine counts as caching m/a after a restart")
	}
}

// Engines hold an adapter in the newest version, in an older one, or have just rejected it. Sent to the wrong one, a request is
// rejected or served by an outdated version.
func TestHoldersAreSplitByVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	h := holds.NewHolds()
	var list []target.Target
	for id, version := range map[string]int{"new": 3, "newer": 4, "old": 2, "rejects": 3, "none": 0} {
		e := target.Target{ID: id, Incarnation: 1}
		if version > 0 {
			e.Adapters = map[string]int{"m/a": version}
		}
		list = append(list, e)
	}
	h.RecordMiss("rejects", "m/a", now)
	h.Update("none", 1, 5, map[string]int{"m/b": 3})
	holders, older := h.Holders(list, "m/a", 3, now)
	if len(holders) != 2 || len(older) != 1 || older[0].ID != "old" {
		t.Errorf("holders = %v, older = %v, want new and newer, and old", holders, older)
	}
	for _, e := range holders {
		if e.ID != "new" && e.ID != "newer" {
			t.Errorf("holders has %s, want new and newer alone", e.ID)
		}
	}
}
