// Package speed estimates how fast the usual engine reads prompts and makes events, from the streams that a host passes on.
//
// Engines do not tell their speed and it differs between sites and models. The time to the first event grows with the
// prompt; what else delays it does not depend on the prompt, so the slope between small and large prompts is the time per
// token. Streams of all engines count, each by how much slower than the usual one its engine is.
package speed

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"damaskreach/internal/rates"
)

const (
	// firstToken and firstEvent hold until something was measured: what engines of today need, rounded up.
	firstToken = 60 * time.Microsecond
	firstEvent = 40 * time.Millisecond
	// leastToken and mostToken bound the estimate, so that a few odd samples do not stop or flood an engine.
	leastToken = 5 * time.Microsecond
	mostToken  = 2 * time.Millisecond
	// samples is how many of the newest prompts count, and fitEvery after how many new ones the slope is found anew.
	samples  = 256
	fitEvery = 4
	// knownFor is for how long what was known before this host started is not asked for again: the host asks for the time of a prompt at many
	// engines at once, and each answer is the median over all hosts.
	knownFor = 100 * time.Millisecond
	// enough is how many samples a slope needs.
	enough = 8
	// apart is how many tokens two prompts must differ by for the slope between them to say anything.
	apart = 200
)

// Speed may be used from several goroutines.
type Speed struct {
	// Before returns what was known before this host started, for as long as it has measured nothing itself; nil for nothing.
	Before func() rates.Rates
	// Slow returns how many times slower than the usual one an engine is; nil means that all are alike.
	Slow func(id string) float64

	mu    sync.Mutex
	ring  []sample
	next  int
	fresh int
	token time.Duration
	event time.Duration

	known   rates.Rates // that Before returned last
	knownAt time.Time
}

type sample struct {
	id     string // of the engine
	tokens int
	took   time.Duration
}

// usual returns the time that the usual engine would have taken.
func (s *Speed) usual(id string, took time.Duration) time.Duration {
	if s.Slow == nil {
		return took
	}
	return time.Duration(float64(took) / s.Slow(id))
}

// First takes the time from sending a prompt of so many tokens to an engine to its first event.
func (s *Speed) First(id string, tokens int, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ring) < samples {
		s.ring = append(s.ring, sample{})
	}
	s.ring[s.next%len(s.ring)] = sample{id, tokens, took}
	s.next = (s.next + 1) % samples
	s.fresh++
	if s.fresh >= fitEvery && len(s.ring) >= enough {
		s.fresh = 0
		s.fit()
	}
}

// fit takes the median of the slopes between small and large prompts. Queues and lost packets delay some prompts by much
// more than reading them takes; a mean would follow those. How slow each engine is counts as it is known now: when the first samples were
// taken it was not.
func (s *Speed) fit() {
	sorted := slices.Clone(s.ring)
	for i, one := range sorted {
		sorted[i].took = s.usual(one.id, one.took)
	}
	slices.SortFunc(sorted, func(a, b sample) int { return a.tokens - b.tokens })
	half := len(sorted) / 2
	var slopes []time.Duration
	for i := range half {
		small, large := sorted[i], sorted[len(sorted)-half+i]
		if tokens := large.tokens - small.tokens; tokens >= apart {
			slopes = append(slopes, (large.took-small.took)/time.Duration(tokens))
		}
	}
	if len(slopes) < enough/4 {
		return
	}
	slices.Sort(slopes)
	s.token = min(mostToken, max(leastToken, slopes[len(slopes)/2]))
}

// Event takes the time between two events of a stream at an engine.
func (s *Speed) Event(id string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	took = s.usual(id, took)
	if s.event == 0 {
		s.event = s.startEvent()
	}
	// The median is found by small steps: prompts of others make the mean longer than a plain step.
	step := max(100*time.Microsecond, s.event/50)
	if took > s.event {
		s.event += step
	} else {
		s.event = max(time.Millisecond, s.event-step)
	}
}

// Cost returns the time to read a prompt of so many tokens.
func (s *Speed) Cost(tokens int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.token == 0 {
		return time.Duration(tokens) * cmp.Or(s.before().TokenTime, firstToken)
	}
	return time.Duration(tokens) * s.token
}

// Gap returns the usual time between two events.
func (s *Speed) Gap() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.event == 0 {
		return s.startEvent()
	}
	return s.event
}

// Rates returns what this host has measured or, where it has not, found before.
func (s *Speed) Rates() rates.Rates {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.before()
	return rates.Rates{TokenTime: cmp.Or(s.token, before.TokenTime), EventInterval: cmp.Or(s.event, before.EventInterval)}
}

func (s *Speed) before() rates.Rates {
	if s.Before == nil {
		return rates.Rates{}
	}
	if now := time.Now(); now.Sub(s.knownAt) >= knownFor {
		s.known, s.knownAt = s.Before(), now
	}
	return s.known
}

// startEvent returns the time between events from which the estimate starts.
func (s *Speed) startEvent() time.Duration {
	return cmp.Or(s.before().EventInterval, firstEvent)
}
