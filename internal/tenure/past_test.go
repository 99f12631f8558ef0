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

// past keeps what rows held in eras of before.
type past map[string][][]byte

// note takes what the store has now, but for the secret of the hosts.
func (p past) note(s *story) {
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

// write has a write of an era before carried out over whatever a row holds now.
func (p past) write(s *story, r *rand.Rand) {
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

// Writes of the eras before are carried out over claims and sessions of this one, where their numbers were given out again, while hosts lose answers and
// the store comes back from copies again and again.
func TestWritesOfErasBeforeTakeNoEngine(t *testing.T) {
	for seed := range *stories {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			tell(t, func(s *story) {
				r, before := rand.New(rand.NewPCG(seed, 2)), past{}
				for range 30 {
					before.note(s)
					s.happen(r)
					s.comeBack(time.Duration(r.IntN(300))*time.Millisecond, time.Duration(r.IntN(10000))*time.Millisecond)
					for range r.IntN(6) {
						s.pass(time.Duration(r.IntN(2000)) * time.Millisecond)
						before.write(s, r)
					}
				}
				s.wantSettled()
			})
		})
	}
}
