package limit

import (
	"time"

	"damaskreach/internal/call"
)

const (
	firstAnswer  = 500.0 // tokens expected where nothing is known and the call states no maximum
	firstPace    = 40.0  // tokens a second
	priorAnswers = 10    // answers that the first expectation counts for
	mostAnswers  = 200.0 // that a mean remembers
)

// mean is what was learnt of the answers of an adapter or tenant: the mean of the first ones,
// which then follows the later ones slowly.
type mean struct {
	count  int
	tokens float64
	pace   float64 // tokens a second
}

// expect returns what a call is charged while its answer is not complete.
func (l *Limit) expect(now time.Time, c call.Call) *charge {
	booked := &charge{at: now, most: float64(c.Most)}
	switch l.way {
	case Reserve:
		booked.mean = float64(c.Most)
		return booked
	case After:
		return booked
	}
	known := l.means[adapterKey(c.Adapter)]
	if known == nil {
		known = l.means[tenantKey(c.Tenant)]
	}
	if known == nil {
		known = prior(c)
	}
	booked.mean, booked.pace = known.tokens, known.pace
	return booked
}

// tokens returns how long the answer is expected to become: the mean, and from then on what it has by now.
// Of the answers in progress the long ones are over-represented, as they stay the longest;
// charging each with the mean for all of its time would let a busy minute pass its limit.
func (c *charge) tokens(now time.Time) float64 {
	expected := max(c.mean, c.pace*now.Sub(c.at).Seconds())
	if c.most > 0 {
		return min(expected, c.most)
	}
	return expected
}

// prior returns what is expected where nothing was learnt: half of the stated maximum.
// Short answers are complete first, so that the mean of the very first ones is far too low;
// the prior outweighs them until longer ones have come.
func prior(c call.Call) *mean {
	first := firstAnswer
	if c.Most > 0 {
		first = float64(c.Most) / 2
	}
	return &mean{count: priorAnswers, tokens: first, pace: firstPace}
}

// learn takes the length of an answer in, and how long it took.
func (l *Limit) learn(of string, c call.Call, tokens float64, took time.Duration) {
	m := l.means[of]
	if m == nil {
		m = prior(c)
		l.means[of] = m
	}
	m.count++
	weight := 1 / min(float64(m.count), mostAnswers)
	m.tokens += weight * (tokens - m.tokens)
	if took > 0 {
		m.pace += weight * (tokens/took.Seconds() - m.pace)
	}
}
