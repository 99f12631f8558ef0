package replay

import (
	"slices"
	"sync"
	"time"

	"damaskreach/internal/stand/recrd"
)

// Result holds the figures of one policy on one trace, as callers and stand-ins saw them.
type Result struct {
	Policy     string
	Asked      int // of adapters
	Whole      int
	Refused    map[string]int // by code
	Cut        int            // neither whole nor refused
	Booked     int            // bookings answered
	First50    time.Duration
	First95    time.Duration
	First99    time.Duration
	Gap95      time.Duration // mean of an answer
	Missed     int           // deadlines, refusals included
	Hurried    int           // requests with a deadline
	Loads      int           // that the store served
	Efficiency float64       // tokens of whole answers over the places of all steps
}

type stats struct {
	mu     sync.Mutex
	result Result
	firsts []time.Duration
	gaps   []time.Duration
	tokens int
}

func (s *stats) booked(whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if whole {
		s.result.Booked++
	}
}

func (s *stats) add(a answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Asked++
	switch {
	case a.refused != "":
		s.result.Refused[a.refused]++
	case !a.whole:
		s.result.Cut++
	}
	if a.within > 0 {
		s.result.Hurried++
		if !a.whole || a.end.Sub(a.asked) > a.within {
			s.result.Missed++
		}
	}
	if !a.whole {
		return
	}
	s.result.Whole++
	s.tokens += a.tokens
	s.firsts = append(s.firsts, a.first.Sub(a.asked))
	if a.tokens > 1 {
		s.gaps = append(s.gaps, a.end.Sub(a.first)/time.Duration(a.tokens-1))
	}
}

func (r *replay) result(name string) Result {
	s := &r.stats
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.Sort(s.firsts)
	slices.Sort(s.gaps)
	found := s.result
	found.Policy = name
	found.First50, found.First95, found.First99 = share(s.firsts, 0.5), share(s.firsts, 0.95), share(s.firsts, 0.99)
	found.Gap95 = share(s.gaps, 0.95)
	places := 0
	for _, e := range r.site.Engines {
		places += e.Steps() * e.Batch
	}
	found.Efficiency = float64(s.tokens) / float64(max(1, places))
	for _, load := range r.store.Records() {
		if load.End == recrd.Whole {
			found.Loads++
		}
	}
	return found
}

// share returns the value that a share of the sorted values does not exceed.
func share(sorted []time.Duration, part float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))].Round(100 * time.Microsecond)
}
