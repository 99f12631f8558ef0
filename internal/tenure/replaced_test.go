package tenure_test

import (
	"testing"
	"time"

	"damaskreach/internal/rows"
)

// readRow returns a row as the store has it.
func (s *scenario) readRow(key string) rows.Row {
	s.t.Helper()
	row, err := s.db.Table().Read(s.t.Context(), key)
	if err != nil {
		s.t.Fatalf("Read(%q) = %v, want a row", key, err)
	}
	return row
}

// currentFence returns the fence with which a host may order an engine, 0 where it may not.
func (h *host) currentFence(id string) int64 {
	fence, _ := h.Fence(id)
	return fence
}

// overwriteClaim restores the store and then applies a write of the era before over the claim that the engine's owner has renewed, whose
// revision was issued before.
func (s *scenario) overwriteClaim(h *host, id string) {
	s.t.Helper()
	before, old := s.readRow("fleet/own:"+id), h.currentFence(id)
	s.restoreStore(100*time.Millisecond, time.Second)
	for range 100 {
		if s.elapse(50 * time.Millisecond); h.currentFence(id) > old {
			break
		}
	}
	late := s.readRow("fleet/own:" + id).WithValue(before.Value)
	if _, err := s.db.Table().Write(s.t.Context(), late); err != nil {
		s.t.Fatalf("Write(%v) = %v, want nil", late, err)
	}
}

// An owner has renewed its claim after a restore, and a late write of the era before replaces that claim. The owner must not go back to the
// lower fence while its next claim is in flight.
func TestFenceNeverDecreasesAfterLateWrite(t *testing.T) {
	runScenario(t, func(s *scenario) {
		h := s.addClaimedEngine("new")
		s.overwriteClaim(h, "new")
		h.setLate(true)
		s.elapse(5 * time.Second)
		h.setLate(false)
		s.elapse(maxTakeover + orderGap)
		s.wantOwned("in the end")
	})
}

// A late write of the era before replaces a claim, and the owner, whose reads fail, does not see it. Others wait for its lease from when
// they see the row: if the lease were renewed, two hosts would order the engine.
func TestReplacedClaimStopsRenewal(t *testing.T) {
	runScenario(t, func(s *scenario) {
		h := s.addClaimedEngine("new")
		s.overwriteClaim(h, "new")
		h.setBlind(true)
		s.elapse(maxTakeover + orderGap)
		h.setBlind(false)
		s.elapse(maxTakeover + orderGap)
		s.wantOwned("in the end")
	})
}

func (h *host) isBlind() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.blind
}

func (h *host) setBlind(blind bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.blind = blind
}
