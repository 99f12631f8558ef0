package place

import (
	"slices"
	"time"

	"damaskreach/internal/call"
	"damaskreach/pkg/refuse"
)

const smoothing = 0.1 // weight of the newest sample

// Settle ends a choice; an empty runner stands for the one that was chosen. A nil outcome means that the answer was complete.
func (p *Place) Settle(now time.Time, c call.Call, runner string, outcome *refuse.Refusal) {
	chosen := p.inFlight[c.Attempt]
	if chosen == nil || chosen.runner != runner && runner != "" {
		return
	}
	runner = chosen.runner
	delete(p.inFlight, c.Attempt)
	p.removeDuplicate(chosen)
	if outcome == nil {
		p.answerTime += time.Duration(smoothing * float64(now.Sub(chosen.chosenAt)-p.answerTime))
	}
	t := p.runners[runner]
	if t == nil {
		return
	}
	if chosen.suspect {
		t.suspectsInFlight--
	}
	if t.inFlight[chosen.model]--; t.inFlight[chosen.model] <= 0 {
		delete(t.inFlight, chosen.model)
	}
	t.recent = slices.DeleteFunc(t.recent, func(c *choice) bool { return c == chosen })
	t.health.recordOutcome(now, outcome, chosen.probe)
}

// removeDuplicate takes one request off the count of its fingerprint.
func (p *Place) removeDuplicate(chosen *choice) {
	dup := p.duplicates[chosen.fingerprint]
	if dup == nil {
		return
	}
	if dup.inFlight--; dup.inFlight <= 0 {
		delete(p.duplicates, chosen.fingerprint)
	}
}
