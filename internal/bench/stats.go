package bench

import (
	"slices"
	"time"

	"damaskreach/pkg/refuse"
)

// stats collects what a run is measured by. Plain services count in deadline misses and refusals only.
type stats struct {
	stalls   []time.Duration
	firsts   []time.Duration
	gaps     map[time.Duration]int // tokens by gap
	steps    int
	places   int // requests the steps could have held
	useful   int // tokens of answers that came whole
	loads    int
	asked    int
	whole    int
	refusals int
	fitted   int // refusals though a runner could have served
	cuts     int
	others   int // refusals of requests that are not part of a rush
	hurried  int
	missed   int
	broken   int // rules broken: a model unloaded in use, more models than slots
}

// block counts equal steps of one engine.
func (s *stats) block(steps, requests int, gap time.Duration) {
	const places = 16
	if s.gaps == nil {
		s.gaps = map[time.Duration]int{}
	}
	s.steps += steps
	s.places += steps * places
	s.gaps[gap.Round(100*time.Microsecond)] += steps * requests
}

func (s *stats) arrived(q *request) {
	s.asked++
	if q.deadline > 0 {
		s.hurried++
	}
}

func (s *stats) answered(q *request, now time.Duration) {
	s.whole++
	if q.deadline > 0 && now > q.deadline {
		s.missed++
	}
	if q.model == "" {
		return
	}
	s.useful += q.tokens
	s.stalls = append(s.stalls, q.stall)
	s.firsts = append(s.firsts, q.first-q.arrived)
}

func (s *stats) refused(q *request, why *refuse.Refusal, fits bool) {
	if why.Code == refuse.Cut {
		s.cuts++
	} else {
		s.refusals++
	}
	if !q.rush && why.Code != refuse.Cut {
		s.others++
	}
	if fits {
		s.fitted++
	}
	if q.deadline > 0 {
		s.missed++
	}
	if q.model != "" {
		s.stalls = append(s.stalls, q.stall)
	}
}

// result turns the counts into figures.
func (s *stats) result(name string) Result {
	slices.Sort(s.stalls)
	slices.Sort(s.firsts)
	return Result{
		Policy:     name,
		StallMean:  millis(mean(s.stalls)),
		Stall95:    millis(quantile(s.stalls, 0.95)),
		Stall99:    millis(quantile(s.stalls, 0.99)),
		Efficiency: round(float64(s.useful)/float64(max(1, s.places)), 4),
		Loads:      s.loads,
		False:      s.fitted,
		Refused:    s.refusals,
		Others:     s.others,
		Cut:        s.cuts,
		First95:    millis(quantile(s.firsts, 0.95)),
		Gap95:      millis(s.gap(0.95)),
		Missed:     s.missed,
		Hurried:    s.hurried,
		Asked:      s.asked,
		Whole:      s.whole,
		Broken:     s.broken,
	}
}

func mean(all []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, d := range all {
		sum += d
	}
	return sum / time.Duration(max(1, len(all)))
}

// quantile returns the value that a share of the sorted values does not exceed.
func quantile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// gap returns the gap that a share of the tokens does not exceed.
func (s *stats) gap(share float64) time.Duration {
	gaps := make([]time.Duration, 0, len(s.gaps))
	all := 0
	for gap, tokens := range s.gaps {
		gaps = append(gaps, gap)
		all += tokens
	}
	slices.Sort(gaps)
	seen := 0
	for _, gap := range gaps {
		seen += s.gaps[gap]
		if float64(seen) >= share*float64(all) {
			return gap
		}
	}
	return 0
}
