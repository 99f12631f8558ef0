package proxy

import (
	"context"
	"slices"

	"damaskreach/internal/began"
	"damaskreach/internal/kinds"
	"damaskreach/internal/target"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// findOrigin finds the build that began the stream that a caller resumes, or returns why the request is refused: an engine of another build
// would garble the stream without noticing.
func (p *Proxy) findOrigin(ctx context.Context, j *job) *refuse.Refusal {
	if j.req.Resumes == "" || j.req.LastSeen == "" || j.route.Kind != kinds.Stream {
		return nil
	}
	build, ok := p.FindBuild(ctx, j.req.Resumes, j.group)
	if !ok {
		return refuse.NewRefusal(verd.NotRun, refuse.NoOrigin, "it is not known which software began %s", j.req.Resumes).WithRetry(defaultRetry)
	}
	j.begun, j.build = true, build
	return nil
}

// recordOrigin records that the caller gets the first event of a stream, unless the stream is resumed.
func (p *Proxy) recordOrigin(j *job, t target.Target) {
	if j.begun {
		return
	}
	j.begun, j.build = true, t.Build
	if j.route.Resumable {
		p.RecordOrigin(began.Began{Attempt: j.req.ID, Group: j.group, Build: t.Build})
	}
}

// canGoOnAt reports whether an upstream runs the build that began the request's stream, if it has begun.
func (j *job) canGoOnAt(t target.Target) bool {
	return !j.begun || t.Build == j.build
}

// withoutRecentBuilds drops the upstreams of builds that other hosts may not know of yet, unless there are no others. A stream that began there
// could be resumed at a host that takes the other build for the only one.
func (p *Proxy) withoutRecentBuilds(j *job, list []target.Target) []target.Target {
	if j.begun || !j.route.Resumable {
		return list
	}
	recent := p.RecentBuilds(j.group)
	if len(recent) == 0 {
		return list
	}
	known := filter(list, func(t target.Target) bool { return !slices.Contains(recent, t.Build) })
	if len(known) == 0 {
		return list
	}
	return known
}

// buildGone reports whether a stream that has begun can go on nowhere: all upstreams of its build are leaving or gone.
func (p *Proxy) buildGone(j *job) bool {
	return j.begun && !slices.ContainsFunc(p.View().Group(j.group), func(t target.Target) bool {
		return j.canGoOnAt(t) && p.notLeaving(t)
	})
}
