package place

import (
	"slices"
	"time"

	"damaskreach/internal/call"
	"damaskreach/pkg/refuse"
)

const smooth = 0.1 // weight of the newest sample

// Settle ends a choice; an empty runner means whichever was chosen. The outcome is nil where the whole answer came, else why it did not.
func (p *Place) Settle(now time.Time, c call.Call, runner string, outcome *refuse.Refusal) {
	made := p.flying[c.Attempt]
	if made == nil || made.runner != runner && runner != "" {
		return
	}
	runner = made.runner
	delete(p.flying, c.Attempt)
	p.separate(made)
	if outcome == nil {
		p.answer += time.Duration(smooth * float64(now.Sub(made.at)-p.answer))
	}
	t := p.runners[runner]
	if t == nil {
		return
	}
	if made.alone {
		t.alone--
	}
	if t.flying[made.model]--; t.flying[made.model] <= 0 {
		delete(t.flying, made.model)
	}
	t.recent = slices.DeleteFunc(t.recent, func(c *choice) bool { return c == made })
	t.health.settle(now, outcome, made.probe)
}

// separate takes one request off its fingerprint.
func (p *Place) separate(made *choice) {
	known := p.twins[made.print]
	if known == nil {
		return
	}
	if known.flying--; known.flying <= 0 {
		delete(p.twins, made.print)
	}
}
