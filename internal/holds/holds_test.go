package holds_test

import (
	"testing"
	"time"

	"damaskreach/internal/holds"
	"damaskreach/internal/target"
)

var now = time.Unix(1000, 0)

func engine(born, sequence int64, adapters map[string]int) target.Target {
	return target.Target{ID: "e", Incarnation: born, Sequence: sequence, Adapters: adapters}
}

// The order giver has had an adapter loaded, and the engine's registration is a second old. Requests go there at once
// instead of asking for a second load.
func TestOrderGiverKnowsBeforeTheRegistration(t *testing.T) {
	h := holds.NewHolds()
	h.Tell("e", 1, 5, map[string]int{"m/a": 2})
	if v, ok := h.Version(engine(1, 4, nil), "m/a", now); !ok || v != 2 {
		t.Errorf("Version() = %d, %v, want 2, true", v, ok)
	}
}

// The engine has restarted under its id and holds nothing. What was told of its former life must not send requests there.
func TestRestartEndsWhatWasTold(t *testing.T) {
	h := holds.NewHolds()
	h.Tell("e", 1, 5, map[string]int{"m/a": 2})
	if _, ok := h.Version(engine(2, 0, nil), "m/a", now); ok {
		t.Error("the adapter is taken for held after the restart")
	}
	h.Tell("e", 2, 1, map[string]int{})
	h.Tell("e", 1, 9, map[string]int{"m/a": 2})
	if _, ok := h.Version(engine(2, 0, nil), "m/a", now); ok {
		t.Error("a late word of the former life counts")
	}
}

// An engine rejects a request for what it should hold. It is not asked again until something newer is known.
func TestRejectedAdapterIsNotHeldForAWhile(t *testing.T) {
	h := holds.NewHolds()
	e := engine(1, 4, map[string]int{"m/a": 1})
	h.Miss("e", "m/a", now)
	if _, ok := h.Version(e, "m/a", now); ok {
		t.Error("the adapter is taken for held right after the rejection")
	}
	if _, ok := h.Version(e, "m/a", now.Add(time.Minute)); !ok {
		t.Error("the adapter is not taken for held a minute later")
	}
}

// An adapter is evicted and asked for again. It goes back to the engine that still has its weights, where the load takes a
// tenth of the time.
func TestEvictedAdapterIsRemembered(t *testing.T) {
	h := holds.NewHolds()
	h.Tell("e", 1, 5, map[string]int{"m/a": 1, "m/b": 1})
	h.Tell("e", 1, 6, map[string]int{"m/b": 1})
	if !h.Left(engine(1, 6, nil), "m/a") {
		t.Error("the engine that held the adapter last is not known")
	}
	if h.Left(engine(2, 0, nil), "m/a") {
		t.Error("a new life of the engine is taken to have the weights")
	}
}

// A host starts and is told what engines have at hand. It sends an adapter back to the engine that had it, but what it has seen
// itself counts more than what others kept.
func TestHostThatStartsLearnsWhereWeightsAre(t *testing.T) {
	h := holds.NewHolds()
	e := engine(1, 5, nil)
	h.Recall("e", 1, []string{"m/a", "m/b"})
	if !h.Left(e, "m/a") {
		t.Error("the engine is not taken to have m/a at hand")
	}
	h.Tell("other", 1, 1, map[string]int{"m/c": 1})
	h.Tell("other", 1, 2, map[string]int{})
	h.Recall("e", 1, []string{"m/c"})
	if h.Left(e, "m/c") {
		t.Error("m/c is taken to be at hand at the engine, want it at the one that was seen to unload it")
	}
	if h.Left(engine(2, 0, nil), "m/a") {
		t.Error("the engine is taken to have m/a at hand after a restart")
	}
}

// Engines hold an adapter in the newest version, in an older one, or rejected a request for it a moment ago. A request sent to the wrong ones is
// rejected, or served by a version that is out of force.
func TestHoldersAreThoseThatHoldTheVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	h := holds.NewHolds()
	var list []target.Target
	for id, version := range map[string]int{"new": 3, "newer": 4, "old": 2, "rejects": 3, "none": 0} {
		one := target.Target{ID: id, Incarnation: 1}
		if version > 0 {
			one.Adapters = map[string]int{"m/a": version}
		}
		list = append(list, one)
	}
	h.Miss("rejects", "m/a", now)
	h.Tell("none", 1, 5, map[string]int{"m/b": 3})
	holders, older := h.Holders(list, "m/a", 3, now)
	if len(holders) != 2 || len(older) != 1 || older[0].ID != "old" {
		t.Errorf("holders = %v, older = %v, want new and newer, and old", holders, older)
	}
	for _, one := range holders {
		if one.ID != "new" && one.ID != "newer" {
			t.Errorf("holders has %s, want new and newer alone", one.ID)
		}
	}
}
