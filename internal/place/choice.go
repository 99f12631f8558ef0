package place

import (
	"time"

	"damaskreach/internal/call"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	sweepInterval = 1024 // in choices
	choiceTTL     = time.Hour
)

// choice is a request that was sent to a runner and is not settled yet.
type choice struct {
	request     string
	runner      string
	model       string
	fingerprint string
	chosenAt    time.Time
	probe       bool
	suspect     bool
}

// duplicates counts the requests in flight that share a fingerprint; all of them are on one runner.
type duplicates struct {
	runner   string
	inFlight int
}

// modelOf returns the model that a call needs, or "" if it needs none.
func modelOf(c call.Call) string {
	if c.Adapter == "" {
		return ""
	}
	return c.Model()
}

// recordChoice stores a choice until it is settled.
func (p *Place) recordChoice(now time.Time, c call.Call, t *target, probe bool) {
	chosen := &choice{
		request:     c.Name(),
		runner:      t.digest.Runner,
		model:       modelOf(c),
		fingerprint: c.Fingerprint(),
		chosenAt:    now,
		probe:       probe,
		suspect:     c.Suspect,
	}
	p.choiceCount++
	if p.choiceCount%sweepInterval == 0 {
		p.expireChoices(now)
	}
	p.countRequest(now, chosen.model)
	p.inFlight[c.Attempt] = chosen
	t.recent = append(t.recent, chosen)
	t.inFlight[chosen.model]++
	if chosen.suspect {
		t.suspectsInFlight++
	}
	p.prefixes.record(now, c.Prefix, chosen.runner)
	dup := p.duplicates[chosen.fingerprint]
	if dup == nil {
		dup = &duplicates{}
		p.duplicates[chosen.fingerprint] = dup
	}
	dup.runner = chosen.runner
	dup.inFlight++
}

// expireChoices settles choices whose node is gone and will never settle them. Otherwise they would count as load on their
// runners for good, and as pending loads of models that are never loaded.
func (p *Place) expireChoices(now time.Time) {
	for attempt, chosen := range p.inFlight {
		if now.Sub(chosen.chosenAt) > choiceTTL {
			p.Settle(now, call.Call{Attempt: attempt}, chosen.runner, abandonedRefusal())
		}
	}
}

func abandonedRefusal() *refuse.Refusal {
	return refuse.NewRefusal(verd.NotRun, refuse.Canceled, "the node that asked for the choice is gone")
}
