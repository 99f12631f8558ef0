package direct

import (
	"context"
	"slices"
	"time"

	"damaskreach/internal/target"
	"damaskreach/pkg/refuse"
)

// placeApart prefers the engines that are kept for large prompts where the request has one, and the others where it has not; it takes
// any engine only where those cannot serve the request.
func (x *Direct) placeApart(ctx context.Context, j *job, able []target.Target) (target.Target, int, *refuse.Refusal) {
	heavy := x.heavy(j)
	now := time.Now()
	if heavy && j.sends == 0 && !j.noted {
		j.noted = true
		x.Bulk.Note(x.Speed.Cost(j.d.Prompt), now)
	}
	readers, others := split(able, x.Bulk.Engines(len(able), now))
	if len(readers) == 0 || j.anywhere {
		return x.placeAdapter(ctx, j, able)
	}
	preferred, second := others, readers
	if heavy {
		preferred, second = readers, others
	}
	t, version, refusal := x.placeAdapter(ctx, j, preferred)
	if refusal == nil || ctx.Err() != nil {
		return t, version, refusal
	}
	j.anywhere = true
	return x.placeAdapter(ctx, j, second)
}

// heavy reports whether reading the prompt takes the whole pause that streams may have. Taken with the care that turns are given
// with, prompts count that hold up nobody: kept apart, they cost loads and gain nothing.
func (x *Direct) heavy(j *job) bool {
	return j.route.Gap > 0 && x.Speed.Cost(j.d.Prompt) > x.room(j)
}

// split parts the engines that are kept for large prompts from the others. All hosts come to the same ones, and few of them change
// when engines come and go.
func split(able []target.Target, count int) (readers, others []target.Target) {
	if count == 0 {
		return nil, able
	}
	sorted := slices.Clone(able)
	slices.SortFunc(sorted, func(a, b target.Target) int {
		one, two := mix(hash(a.ID+"/large")), mix(hash(b.ID+"/large"))
		switch {
		case one > two:
			return -1
		case one < two:
			return 1
		}
		return 0
	})
	return sorted[:count], sorted[count:]
}
