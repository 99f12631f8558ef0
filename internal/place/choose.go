package place

import (
	"cmp"
	"slices"
	"time"

	"damaskreach/internal/call"
	"damaskreach/internal/digest"
	"damaskreach/internal/reason"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// Choose returns the runner for c, or why none can take it. Runners named in avoid are left out.
func (p *Place) Choose(now time.Time, c call.Call, avoid []string) (digest.Digest, reason.Reason, *refuse.Refusal) {
	open := p.open(c.Group, avoid)
	if len(open) == 0 && len(avoid) > 0 {
		return p.full(c, p.open(c.Group, nil))
	}
	if len(open) == 0 {
		return p.none(c)
	}
	if t := p.twin(c, open); t != nil {
		return p.take(now, c, t, "twin", "the same request is in progress there")
	}
	if c.Alone {
		return p.take(now, c, loneliest(open), "alone", "the request ran on an upstream that crashed")
	}
	if t := p.probe(now, c, open); t != nil {
		return p.take(now, c, t, "probe", "the runner failed before and is probed")
	}
	well := slices.DeleteFunc(slices.Clone(open), func(t *target) bool { return t.ill() })
	if len(well) == 0 {
		well = open
	}
	fitting := p.fitting(c, well)
	if len(fitting) == 0 && !p.policy.Exact {
		return p.full(c, well)
	}
	if len(fitting) == 0 {
		return p.take(now, c, p.shortest(well), "full", "every queue looked full and this one the least so")
	}
	t, kind, text := p.best(now, c, quiet(fitting))
	return p.take(now, c, t, kind, text)
}

// open returns the runners of a group that take work, by name.
func (p *Place) open(group string, avoid []string) []*target {
	var found []*target
	for name, t := range p.runners {
		if t.digest.Group == group && !t.digest.Closed && !slices.Contains(avoid, name) {
			found = append(found, t)
		}
	}
	slices.SortFunc(found, func(a, b *target) int { return cmp.Compare(a.digest.Runner, b.digest.Runner) })
	return found
}

// twin returns the runner on which the same request is in flight. Sent elsewhere at the same time,
// a request that crashes its upstream would take several of them down at once.
func (p *Place) twin(c call.Call, open []*target) *target {
	known := p.twins[c.Print()]
	if known == nil {
		return nil
	}
	for _, t := range open {
		if t.digest.Runner == known.runner && (c.Alone || t.fits(modelOf(c), p.tune.Queue)) {
			return t
		}
	}
	return nil
}

// probe returns a sick runner that is due for a request, or nil.
func (p *Place) probe(now time.Time, c call.Call, open []*target) *target {
	for _, t := range open {
		if t.ill() && t.health.due(now, c.Once) {
			return t
		}
	}
	return nil
}

// ill reports whether the runner is to be avoided.
func (t *target) ill() bool {
	return t.digest.Sick || t.health.sick()
}

// fitting returns the runners whose batch or queue has room for c. A call of raised priority fits everywhere:
// a full owner refuses its least urgent request in its place.
func (p *Place) fitting(c call.Call, from []*target) []*target {
	if c.Priority > 0 {
		return from
	}
	var found []*target
	for _, t := range from {
		if t.fits(modelOf(c), p.tune.Queue) {
			found = append(found, t)
		}
	}
	return found
}

// shortest returns the runner with the fewest waiting requests. Where all queues looked full, digests may be behind,
// and only the owner knows whose request is the least urgent one there: it refuses that one, which may be another.
func (p *Place) shortest(from []*target) *target {
	return slices.MinFunc(p.inTurn(from), func(a, b *target) int {
		return cmp.Compare(a.digest.Waiting+len(a.recent), b.digest.Waiting+len(b.recent))
	})
}

// take settles on a runner.
func (p *Place) take(now time.Time, c call.Call, t *target, kind, text string) (digest.Digest, reason.Reason, *refuse.Refusal) {
	probe := t.ill()
	if probe {
		t.health.probing = true
		t.health.next = now.Add(max(firstProbe, t.health.wait))
	}
	why := reason.Reason{
		Kind:    kind,
		Text:    text,
		Model:   modelOf(c),
		Runner:  t.digest.Runner,
		Running: t.digest.Running,
		Waiting: t.digest.Waiting + len(t.recent),
		Free:    t.digest.Free,
		Wait:    p.wait(t, modelOf(c)),
	}
	p.note(now, c, t, probe)
	return t.digest, why, nil
}

// none refuses a call for whose group no runner is known that takes work.
func (p *Place) none(c call.Call) (digest.Digest, reason.Reason, *refuse.Refusal) {
	why := reason.Reason{Kind: refuse.NoUpstream, Text: "no runner of group " + c.Group + " takes work", Model: modelOf(c)}
	refusal := refuse.NewRefusal(verd.NotRun, refuse.NoUpstream, "%s", why).WithRetry(firstProbe)
	return digest.Digest{}, why, refusal
}

// full refuses a call that every runner of its group is too full for.
func (p *Place) full(c call.Call, open []*target) (digest.Digest, reason.Reason, *refuse.Refusal) {
	if len(open) == 0 {
		return p.none(c)
	}
	why := reason.Reason{Kind: refuse.Overloaded, Text: "every admission queue of group " + c.Group + " is full", Model: modelOf(c)}
	for _, t := range open {
		why.Running += t.digest.Running
		why.Waiting += t.digest.Waiting + len(t.recent)
	}
	why.Wait = max(p.answer/time.Duration(max(1, why.Running)), leastRetry)
	refusal := refuse.NewRefusal(verd.NotRun, refuse.Overloaded, "%s", why).WithRetry(why.Wait)
	return digest.Digest{}, why, refusal
}

const leastRetry = 100 * time.Millisecond
