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

// Choose returns the runner for c, or a refusal with the reason. Runners named in avoid are left out.
func (p *Place) Choose(now time.Time, c call.Call, avoid []string) (digest.Digest, reason.Reason, *refuse.Refusal) {
	open := p.openRunners(c.Group, avoid)
	if len(open) == 0 && len(avoid) > 0 {
		return p.refuseFull(c, p.openRunners(c.Group, nil))
	}
	if len(open) == 0 {
		return p.refuseNoRunner(c)
	}
	if t := p.duplicateRunner(c, open); t != nil {
		return p.assign(now, c, t, "twin", "the same request is in progress there")
	}
	if c.Suspect {
		return p.assign(now, c, fewestSuspects(open), "alone", "the request ran on an upstream that crashed")
	}
	if t := p.runnerToProbe(now, c, open); t != nil {
		return p.assign(now, c, t, "probe", "the runner failed before and is probed")
	}
	healthy := slices.DeleteFunc(slices.Clone(open), func(t *target) bool { return t.unhealthy() })
	if len(healthy) == 0 {
		healthy = open
	}
	fitting := p.withRoom(c, healthy)
	if len(fitting) == 0 && !p.policy.Exact {
		return p.refuseFull(c, healthy)
	}
	if len(fitting) == 0 {
		return p.assign(now, c, p.shortestQueue(healthy), "full", "every queue looked full and this one the least so")
	}
	t, kind, text := p.bestRunner(now, c, withoutSuspects(fitting))
	return p.assign(now, c, t, kind, text)
}

// openRunners returns the runners of a group that accept requests, sorted by name.
func (p *Place) openRunners(group string, avoid []string) []*target {
	var found []*target
	for name, t := range p.runners {
		if t.digest.Group == group && !t.digest.Closed && !slices.Contains(avoid, name) {
			found = append(found, t)
		}
	}
	slices.SortFunc(found, func(a, b *target) int { return cmp.Compare(a.digest.Runner, b.digest.Runner) })
	return found
}

// duplicateRunner returns the runner on which a copy of c is in flight, or nil. If copies ran on several runners at once, a
// request that crashes its upstream would take several of them down.
func (p *Place) duplicateRunner(c call.Call, open []*target) *target {
	dup := p.duplicates[c.Fingerprint()]
	if dup == nil {
		return nil
	}
	for _, t := range open {
		if t.digest.Runner == dup.runner && (c.Suspect || t.hasRoom(modelOf(c), p.tune.Queue)) {
			return t
		}
	}
	return nil
}

// runnerToProbe returns an unhealthy runner that is due for a probe, or nil.
func (p *Place) runnerToProbe(now time.Time, c call.Call, open []*target) *target {
	for _, t := range open {
		if t.unhealthy() && t.health.probeDue(now, c.NonIdempotent) {
			return t
		}
	}
	return nil
}

// unhealthy reports whether the runner is to be avoided.
func (t *target) unhealthy() bool {
	return t.digest.Sick || t.health.unhealthy()
}

// withRoom returns the runners whose batch or queue has room for c. For a call of raised priority that is all of them: the
// owner of a full runner refuses its least urgent request instead.
func (p *Place) withRoom(c call.Call, from []*target) []*target {
	if c.Priority > 0 {
		return from
	}
	var found []*target
	for _, t := range from {
		if t.hasRoom(modelOf(c), p.tune.Queue) {
			found = append(found, t)
		}
	}
	return found
}

// shortestQueue returns the runner with the fewest waiting requests. It is used where all queues look full: digests may lag,
// and only the owner knows which of its requests is the least urgent one, to be refused in place of the new one.
func (p *Place) shortestQueue(from []*target) *target {
	return slices.MinFunc(p.rotate(from), func(a, b *target) int {
		return cmp.Compare(a.digest.Waiting+len(a.recent), b.digest.Waiting+len(b.recent))
	})
}

// assign sends c to t and records the choice.
func (p *Place) assign(now time.Time, c call.Call, t *target, kind, text string) (digest.Digest, reason.Reason, *refuse.Refusal) {
	probe := t.unhealthy()
	if probe {
		t.health.probing = true
		t.health.nextProbe = now.Add(max(minProbeInterval, t.health.probeInterval))
	}
	why := reason.Reason{
		Kind:    kind,
		Text:    text,
		Model:   modelOf(c),
		Runner:  t.digest.Runner,
		Running: t.digest.Running,
		Waiting: t.digest.Waiting + len(t.recent),
		Free:    t.digest.Free,
		Wait:    p.expectedWait(t, modelOf(c)),
	}
	p.recordChoice(now, c, t, probe)
	return t.digest, why, nil
}

// refuseNoRunner refuses a call whose group has no known runner that accepts requests.
func (p *Place) refuseNoRunner(c call.Call) (digest.Digest, reason.Reason, *refuse.Refusal) {
	why := reason.Reason{Kind: refuse.NoUpstream, Text: "no runner of group " + c.Group + " takes work", Model: modelOf(c)}
	refusal := refuse.NewRefusal(verd.NotRun, refuse.NoUpstream, "%s", why).WithRetry(minProbeInterval)
	return digest.Digest{}, why, refusal
}

// refuseFull refuses a call because every runner of its group is full.
func (p *Place) refuseFull(c call.Call, open []*target) (digest.Digest, reason.Reason, *refuse.Refusal) {
	if len(open) == 0 {
		return p.refuseNoRunner(c)
	}
	why := reason.Reason{Kind: refuse.Overloaded, Text: "every admission queue of group " + c.Group + " is full", Model: modelOf(c)}
	for _, t := range open {
		why.Running += t.digest.Running
		why.Waiting += t.digest.Waiting + len(t.recent)
	}
	why.Wait = max(p.answerTime/time.Duration(max(1, why.Running)), minRetryAfter)
	refusal := refuse.NewRefusal(verd.NotRun, refuse.Overloaded, "%s", why).WithRetry(why.Wait)
	return digest.Digest{}, why, refusal
}

const minRetryAfter = 100 * time.Millisecond
