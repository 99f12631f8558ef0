package place

import (
	"time"

	"damaskreach/internal/call"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	sweepEvery = 1024 // choices
	lapse      = time.Hour
)

// choice is a request sent to a runner and not settled yet.
type choice struct {
	request string
	runner  string
	model   string
	print   string
	at      time.Time
	probe   bool
	alone   bool
}

// twin is a fingerprint with requests in flight, all on one runner.
type twin struct {
	runner string
	flying int
}

// modelOf returns the model a call needs, empty for none.
func modelOf(c call.Call) string {
	if c.Adapter == "" {
		return ""
	}
	return c.Model()
}

// note records a choice until it is settled.
func (p *Place) note(now time.Time, c call.Call, t *target, probe bool) {
	made := &choice{
		request: c.Name(),
		runner:  t.digest.Runner,
		model:   modelOf(c),
		print:   c.Print(),
		at:      now,
		probe:   probe,
		alone:   c.Alone,
	}
	p.serial++
	if p.serial%sweepEvery == 0 {
		p.sweep(now)
	}
	p.count(now, made.model)
	p.flying[c.Attempt] = made
	t.recent = append(t.recent, made)
	t.flying[made.model]++
	if made.alone {
		t.alone++
	}
	p.prefix.put(now, c.Prefix, made.runner)
	known := p.twins[made.print]
	if known == nil {
		known = &twin{}
		p.twins[made.print] = known
	}
	known.runner = made.runner
	known.flying++
}

// sweep ends choices that nobody has settled, because the node that asked for them is gone. Kept, they would count on
// their runners for good, and a model would seem to be on its way to a runner that never gets it.
func (p *Place) sweep(now time.Time) {
	for attempt, made := range p.flying {
		if now.Sub(made.at) > lapse {
			p.Settle(now, call.Call{Attempt: attempt}, made.runner, canceled())
		}
	}
}

func canceled() *refuse.Refusal {
	return refuse.NewRefusal(verd.NotRun, refuse.Canceled, "the node that asked for the choice is gone")
}
