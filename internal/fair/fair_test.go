package fair_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"damaskreach/internal/fair"
)

const cost = 50 * time.Millisecond // to read one prompt

// asker is a team that asks for so many prompts a second, and what it is entitled to beside others.
type asker struct {
	team   string
	rate   float64
	weight float64
}

// tally is what became of a team's prompts.
type tally struct {
	asked, served int
	longest       time.Duration
}

type prompt struct {
	asker
	number int
	at     time.Time
}

// play has an engine read prompts one after the other for a while. One that has waited for two seconds is refused.
func play(t *testing.T, askers []asker, span time.Duration) map[string]*tally {
	const patience = 2 * time.Second
	var f fair.Fair
	start := time.Unix(100, 0)
	sum := map[string]*tally{}
	var waiting []prompt
	number := 0
	due := map[string]float64{}
	for now := start; now.Sub(start) < span; now = now.Add(cost) {
		for _, a := range askers {
			if sum[a.team] == nil {
				sum[a.team] = &tally{}
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
		f.Give(next.team, cost, next.weight)
		waiting = slices.DeleteFunc(waiting, func(p prompt) bool { return p == next })
		one := sum[next.team]
		one.served++
		one.longest = max(one.longest, now.Sub(next.at))
	}
	for _, a := range askers {
		one := sum[a.team]
		t.Logf("%s: weight %.0f, %d asked, %d served, longest wait %v", a.team, a.weight, one.asked, one.served, one.longest)
	}
	return sum
}

// One team sends many times its usual. Teams that ask for less than their share must not notice.
func TestTeamBelowItsShareDoesNotPayForAnother(t *testing.T) {
	got := play(t, []asker{{"hot", 60, 1}, {"small", 3, 1}, {"smaller", 1, 1}}, 20*time.Second)
	for _, team := range []string{"small", "smaller"} {
		one := got[team]
		if one.served < one.asked-1 || one.longest > 300*time.Millisecond {
			t.Errorf("%s: %d of %d served, longest wait %v; want all, within 300ms", team, one.served, one.asked, one.longest)
		}
	}
	if one := got["hot"]; one.served < 300 {
		t.Errorf("hot: %d served, want what the others leave, 16 a second", one.served)
	}
}

// Two teams ask for more than there is. They get it by what their limits entitle them to, and neither starves.
func TestTeamsAboveTheirSharesAreServedByWeight(t *testing.T) {
	got := play(t, []asker{{"large", 40, 3}, {"small", 40, 1}}, 20*time.Second)
	if ratio := float64(got["large"].served) / float64(got["small"].served); ratio < 2.7 || ratio > 3.3 {
		t.Errorf("served %d and %d, want three to one", got["large"].served, got["small"].served)
	}
}

// A team that was quiet for a while comes back in a burst. It has saved nothing up: the others go on beside it.
func TestQuietTeamHasSavedNothingUp(t *testing.T) {
	var f fair.Fair
	for range 200 {
		f.Give("busy", cost, 1)
	}
	given := 0
	for range 20 {
		if f.Ahead("quiet") <= f.Ahead("busy") {
			f.Give("quiet", cost, 1)
			given++
		} else {
			f.Give("busy", cost, 1)
		}
	}
	if given > 13 {
		t.Errorf("%d of 20 turns for the team that comes back, want about half", given)
	}
}
