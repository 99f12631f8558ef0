package fair_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"damaskreach/internal/fair"
)

const cost = 50 * time.Millisecond // to read one prompt

// demand is the rate of a team's prompts, in prompts a second, and its weight.
type demand struct {
	team   string
	rate   float64
	weight float64
}

// result counts what became of a team's prompts.
type result struct {
	asked, served int
	longest       time.Duration
}

type prompt struct {
	demand
	number int
	at     time.Time
}

// simulate has an engine read prompts one by one for a while. Prompts that have waited for two seconds are refused.
func simulate(t *testing.T, askers []demand, span time.Duration) map[string]*result {
	const patience = 2 * time.Second
	var f fair.Fair
	start := time.Unix(100, 0)
	sum := map[string]*result{}
	var waiting []prompt
	number := 0
	due := map[string]float64{}
	for now := start; now.Sub(start) < span; now = now.Add(cost) {
		for _, a := range askers {
			if sum[a.team] == nil {
				sum[a.team] = &result{}
			}
			for due[a.team] += a.rate * cost.Seconds(); due[a.team] >= 1; due[a.team]-- {
				number++
				waiting = append(waiting, prompt{a, number, now})
				sum[a.team].asked++
			}
		}
		waiting = slices.DeleteFunc(waiting, func(p prompt) bool { return now.Sub(p.at) > patience })
		if len(waiting) == 0 {
			continue
		}
		next := slices.MinFunc(waiting, func(a, b prompt) int {
			return cmp.Or(cmp.Compare(f.Ahead(a.team), f.Ahead(b.team)), a.at.Compare(b.at))
		})
		f.Charge(next.team, cost, next.weight)
		waiting = slices.DeleteFunc(waiting, func(p prompt) bool { return p == next })
		r := sum[next.team]
		r.served++
		r.longest = max(r.longest, now.Sub(next.at))
	}
	for _, a := range askers {
		r := sum[a.team]
		t.Logf("%s: weight %.0f, %d asked, %d served, longest wait %v", a.team, a.weight, r.asked, r.served, r.longest)
	}
	return sum
}

// One team sends many times its usual load. Teams below their shares must not be delayed.
func TestTeamBelowItsShareIsNotDelayed(t *testing.T) {
	got := simulate(t, []demand{{"hot", 60, 1}, {"small", 3, 1}, {"smaller", 1, 1}}, 20*time.Second)
	for _, team := range []string{"small", "smaller"} {
		r := got[team]
		if r.served < r.asked-1 || r.longest > 300*time.Millisecond {
			t.Errorf("%s: %d of %d served, longest wait %v; want all, within 300ms", team, r.served, r.asked, r.longest)
		}
	}
	if r := got["hot"]; r.served < 300 {
		t.Errorf("hot: %d served, want what the others leave, 16 a second", r.served)
	}
}

// Two teams ask for more than the engine can read. They are served by weight, and neither starves.
func TestTeamsAboveTheirSharesAreServedByWeight(t *testing.T) {
	got := simulate(t, []demand{{"large", 40, 3}, {"small", 40, 1}}, 20*time.Second)
	if ratio := float64(got["large"].served) / float64(got["small"].served); ratio < 2.7 || ratio > 3.3 {
		t.Errorf("served %d and %d, want three to one", got["large"].served, got["small"].served)
	}
}

// An idle team returns in a burst. It has no credit from idle time: the other team is served beside it.
func TestIdleTeamAccumulatesNoCredit(t *testing.T) {
	var f fair.Fair
	for range 200 {
		f.Charge("busy", cost, 1)
	}
	given := 0
	for range 20 {
		if f.Ahead("quiet") <= f.Ahead("busy") {
			f.Charge("quiet", cost, 1)
			given++
		} else {
			f.Charge("busy", cost, 1)
		}
	}
	if given > 13 {
		t.Errorf("%d of 20 turns for the returning team, want about half", given)
	}
}
