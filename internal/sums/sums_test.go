package sums_test

import (
	"slices"
	"testing"
	"time"

	"damaskreach/internal/sums"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func take(t *testing.T, s *sums.Sums, after time.Duration, life uint32, used, want float64, wantSure bool) {
	t.Helper()
	got, sure := s.Take(start.Add(after), life, []string{"k"}, []float64{used})
	if !slices.Equal(got, []float64{want}) || sure != wantSure {
		t.Errorf("after %s: life %d is told %v, sure %v; want %v, sure %v", after, life, got, sure, want, wantSure)
	}
}

// A process is killed and another begins at its address. What the first used counts against the limit for a minute; a
// home that put the second's report in its place would let it through again.
func TestUseOfAFormerProcessCountsForAMinute(t *testing.T) {
	s := sums.NewSums(start)
	at := 10 * time.Second
	take(t, s, at, 1, 5, 0, true)
	take(t, s, at, 2, 3, 5, true)
	take(t, s, at+20*time.Second, 3, 0, 8, true)
	take(t, s, at+30*time.Second, 2, 4, 5, true)
	take(t, s, at+59*time.Second, 3, 1, 9, true)
	take(t, s, at+61*time.Second, 3, 1, 4, true)
	take(t, s, at+3*time.Minute, 3, 1, 0, true)
}

// Nodes have come or gone and a key is new at a node: it cannot know whether it is new to all. A home that said it knew
// would open a limit that is used up.
func TestHomeIsNotSureOfNewKeysAfterAMove(t *testing.T) {
	s := sums.NewSums(start)
	take(t, s, 0, 1, 5, 0, false)
	take(t, s, sums.Young, 1, 5, 0, true)
	s.Moved(start.Add(time.Minute))
	take(t, s, time.Minute, 1, 5, 0, true)
	other, sure := s.Take(start.Add(time.Minute), 1, []string{"new"}, []float64{0})
	if len(other) != 1 || sure {
		t.Errorf("a new key after a move: got %v, sure %v; want one sum, not sure", other, sure)
	}
}
