package tenure_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"damaskreach/internal/rows"
	"damaskreach/internal/table"
	"damaskreach/internal/tenure"
)

// earlierRows is what rows held in earlier eras.
type earlierRows map[string][][]byte

// record adds the store's current rows, but for the secret of the hosts.
func (p earlierRows) record(s *scenario) {
	s.t.Helper()
	list, _, err := s.db.Table().List(s.t.Context(), tenure.Prefix)
	if err != nil {
		s.t.Fatalf("List(%q) = %v, want the rows", tenure.Prefix, err)
	}
	for _, row := range list {
		if row.Key != "fleet/secret" {
			p[row.Key] = append(p[row.Key], row.Value)
		}
	}
}

// writeLate applies a write of an earlier era over whatever a row holds now.
func (p earlierRows) writeLate(s *scenario, r *rand.Rand) {
	s.t.Helper()
	keys := slices.Sorted(maps.Keys(p))
	if len(keys) == 0 {
		return
	}
	key := keys[r.IntN(len(keys))]
	row, err := s.db.Table().Read(s.t.Context(), key)
	if err != nil && !errors.Is(err, table.ErrAbsent) {
		s.t.Fatalf("Read(%q) = %v, want the row or none", key, err)
	}
	late := rows.Row{Key: key, Rev: row.Rev, Value: p[key][r.IntN(len(p[key]))]}
	if _, err := s.db.Table().Write(s.t.Context(), late); err != nil && !errors.Is(err, table.ErrConflict) {
		s.t.Fatalf("Write(%v) = %v, want nil or a conflict", late, err)
	}
}

// Writes of earlier eras are applied over current claims and sessions, whose revisions were issued before, while answers get lost and the
// store is restored again and again.
func TestLateWritesOfEarlierErasTakeNoEngine(t *testing.T) {
	for seed := range *scenarioCount {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				r, before := rand.New(rand.NewPCG(seed, 2)), earlierRows{}
				for range 30 {
					before.record(s)
					s.injectFault(r)
					s.restoreStore(time.Duration(r.IntN(300))*time.Millisecond, time.Duration(r.IntN(10000))*time.Millisecond)
					for range r.IntN(6) {
						s.elapse(time.Duration(r.IntN(2000)) * time.Millisecond)
						before.writeLate(s, r)
					}
				}
				s.wantSettled()
			})
		})
	}
}
