package place

import (
	"time"

	"damaskreach/internal/call"
)

// choice is a request sent to a runner and not settled yet.
type choice struct {
	runner string
	model  string
	print  string
	at     time.Time
	probe  bool
	alone  bool
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
		runner: t.digest.Runner,
		model:  modelOf(c),
		print:  c.Print(),
		at:     now,
		probe:  probe,
		alone:  c.Alone,
	}
	p.serial++
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
