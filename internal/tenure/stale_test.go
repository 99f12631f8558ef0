package tenure_test

import (
	"testing"
	"time"

	"damaskreach/internal/rows"
)

// row returns a row as the store has it.
func (s *story) row(key string) rows.Row {
	s.t.Helper()
	row, err := s.db.Table().Read(s.t.Context(), key)
	if err != nil {
		s.t.Fatalf("Read(%q) = %v, want a row", key, err)
	}
	return row
}

// fenced returns the fence with which a host may give an engine orders, 0 where it may not.
func (h *host) fenced(id string) int64 {
	fence, _ := h.Fence(id)
	return fence
}

// voidClaim has the store come back from a copy, and a write of the era before carried out over the claim that the host of an engine makes anew, where
// its number was given out again.
func (s *story) voidClaim(h *host, id string) {
	s.t.Helper()
	before, old := s.row("fleet/own:"+id), h.fenced(id)
	s.comeBack(100*time.Millisecond, time.Second)
	for range 100 {
		if s.pass(50 * time.Millisecond); h.fenced(id) > old {
			break
		}
	}
	late := s.row("fleet/own:" + id).WithValue(before.Value)
	if _, err := s.db.Table().Write(s.t.Context(), late); err != nil {
		s.t.Fatalf("Write(%v) = %v, want nil", late, err)
	}
}

// A host that held an engine has claimed it anew after the store came back, and gives orders with the new fence. A write of the era before is carried
// out over the claim then, where its number was given out again. The host must not go back to the fence of before, which is lower, while its next
// claim is under way.
func TestHostDoesNotGoBackToTheFenceOfBefore(t *testing.T) {
	tell(t, func(s *story) {
		h := s.claimed("new")
		s.voidClaim(h, "new")
		h.setLate(true)
		s.pass(5 * time.Second)
		h.setLate(false)
		s.pass(takeover + turn)
		s.wantHeld("in the end")
	})
}

// A write of the era before is carried out over a host's claim, and the host does not read that: the store takes its writes and answers none of its
// readings. The others wait out its lease from when they see the row. Were it renewed all the same, two hosts would give the engine orders.
func TestLeaseIsNotRenewedOverAClaimThatWasReplaced(t *testing.T) {
	tell(t, func(s *story) {
		h := s.claimed("new")
		s.voidClaim(h, "new")
		h.setBlind(true)
		s.pass(takeover + turn)
		h.setBlind(false)
		s.pass(takeover + turn)
		s.wantHeld("in the end")
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
